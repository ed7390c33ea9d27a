package peers

import (
	"math"
	"time"
)

const (
	// One in leastReserveDivisor of the usable endpoints, at least one, takes no long advice
	// call, and at most one in mostReserveDivisor. Short calls are those of urgent work, which
	// cannot wait until a long call ends.
	leastReserveDivisor = 8
	mostReserveDivisor  = 3
	// reservePerShortCall is how many endpoints are reserved for each short call that is usually
	// in flight, so that short calls that arrive together find one free.
	reservePerShortCall = 2
	// reserveMemory is the time constant by which the expected number of short calls falls to
	// the number in flight. With 2 s, and a mean that rose as slowly, the reserve was gone right
	// after a burst of calls of 100 ms.
	reserveMemory = 10 * time.Second
)

// shortReserve decides how many endpoints take no long advice call. It follows the short calls
// in flight: long calls are as scarce as hosts under heavy load, and a fixed reserve is idle
// most of the time.
type shortReserve struct {
	inFlight int
	// mean rises at once to inFlight and falls with reserveMemory; it holds at the time updated.
	mean    float64
	updated time.Duration
}

// add counts short calls that begin, or end if n is negative.
func (r *shortReserve) add(n int, now time.Duration) {
	r.mean, r.updated = r.meanAt(now), max(now, r.updated)
	r.inFlight += n
	r.mean = max(r.mean, float64(r.inFlight))
}

func (r *shortReserve) meanAt(now time.Duration) float64 {
	passed := max(now-r.updated, 0)
	return float64(r.inFlight) + (r.mean-float64(r.inFlight))*math.Exp(-float64(passed)/float64(reserveMemory))
}

// endpoints returns how many of the usable endpoints take no long call, when some short calls
// wait for an endpoint.
func (r *shortReserve) endpoints(up, waiting int, now time.Duration) int {
	expected := max(r.meanAt(now), float64(r.inFlight+waiting))
	n := int(math.Ceil(reservePerShortCall * expected))
	return min(max(n, up/leastReserveDivisor, 1), max(up/mostReserveDivisor, 1))
}
