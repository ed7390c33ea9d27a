package peers

import (
	"math"
	"time"
)

const (
	// One in leastReserveDivisor of the usable endpoints, at least one, takes no long advice
	// call, and at most one in mostReserveDivisor. Short calls, below longCallThreshold, must
	// not wait until a long call ends.
	leastReserveDivisor = 8
	mostReserveDivisor  = 3
	// reservePerShortCall is how many endpoints are reserved for each short call that is usually
	// in flight, so that short calls that arrive together find one free.
	reservePerShortCall = 2
	// reserveTimeConstant is the time constant by which the expected number of short calls falls to
	// the number in flight. With 2 s, and a mean that rose as slowly, the reserve was gone right
	// after a burst of calls of 100 ms.
	reserveTimeConstant = 10 * time.Second
)

// shortReserve decides how many endpoints take no long advice call. It follows the short calls
// in flight: long calls are as scarce as hosts under heavy load, and a fixed reserve is idle
// most of the time.
type shortReserve struct {
	inFlight int
	// expected rises at once to inFlight and falls to it with reserveTimeConstant; it holds at the
	// time updated.
	expected float64
	updated  time.Duration
}

// add counts short calls that begin, or end if n is negative.
func (r *shortReserve) add(n int, now time.Duration) {
	r.expected, r.updated = r.expectedAt(now), max(now, r.updated)
	r.inFlight += n
	r.expected = max(r.expected, float64(r.inFlight))
}

func (r *shortReserve) expectedAt(now time.Duration) float64 {
	passed := max(now-r.updated, 0)
	return float64(r.inFlight) + (r.expected-float64(r.inFlight))*math.Exp(-float64(passed)/float64(reserveTimeConstant))
}

// endpoints returns how many of the usable endpoints take no long call, when some short calls
// wait for an endpoint.
func (r *shortReserve) endpoints(up, waiting int, now time.Duration) int {
	calls := max(r.expectedAt(now), float64(r.inFlight+waiting))
	n := int(math.Ceil(reservePerShortCall * calls))
	return min(max(n, up/leastReserveDivisor, 1), max(up/mostReserveDivisor, 1))
}
