package owner

import (
	"slices"
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/schedule"
)

// maxOrderDelay is how long after its call an order without an answer may be carried out.
const maxOrderDelay = 12 * time.Second

// leaseCall is a start order for one lifetime of a host, or a poll that renews its lease.
type leaseCall struct {
	life *lifetime
	// run is zero for a poll.
	run schedule.Run
	// token is the fencing token of the call.
	token int64
	// leaseEnd is the end of the lease that it carries, on the clock of that lifetime.
	leaseEnd time.Duration
	// grantedAt is when the lease was computed; it is set for a start order.
	grantedAt time.Duration
	// endedAt is when the call ended, zero while it is in flight; answered is set if the
	// host answered.
	endedAt  time.Duration
	answered bool
}

// leaseCalls are the start orders to a host, and the polls that renew its lease, that a later
// lifetime than the one they are meant for may carry out before it has seen a higher fencing
// token. A later one counts its clock anew, so that it holds the longest lease that hosts accept.
type leaseCalls struct {
	// fence is the fencing token of the host; the owner's lock guards it.
	fence hostFence

	mu   sync.Mutex
	list []*leaseCall
}

// add adds an order that is about to be sent. The caller holds the owner's lock.
func (s *leaseCalls) add(life *lifetime, run schedule.Run, now time.Duration) *leaseCall {
	return s.addCall(&leaseCall{life: life, run: run, token: s.fence.token, leaseEnd: life.lease.grant(now), grantedAt: now})
}

func (s *leaseCalls) addCall(o *leaseCall) *leaseCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, o)
	return o
}

// pollEnded records the result of a poll that renewed the lease of a lifetime: the lifetime that
// has answered, zero if none has. notCarriedOut is set if the host certainly took nothing from it.
func (s *leaseCalls) pollEnded(o *leaseCall, answeredBy int64, notCarriedOut bool, now time.Duration) {
	if notCarriedOut || answeredBy == o.life.startedMs {
		s.remove(o)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o.endedAt, o.answered = now, answeredBy != 0
}

// answered records that a host whose clock is given answered an order. It reports whether
// that was certainly the lifetime that the order was meant for.
func (s *leaseCalls) answered(o *leaseCall, clock, now time.Duration) bool {
	if o.life.lease.isOwnClock(clock, now) {
		s.remove(o)
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o.endedAt, o.answered = now, true
	return false
}

// unanswered records that an order got no answer.
func (s *leaseCalls) unanswered(o *leaseCall, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o.endedAt = now
}

// remove removes an order that no later lifetime can carry out.
func (s *leaseCalls) remove(o *leaseCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = slices.DeleteFunc(s.list, func(p *leaseCall) bool { return p == o })
}

// settle removes the orders that no later lifetime can carry out, once a lifetime has
// answered a poll: those that had been answered before the poll was sent, and those that
// are too old.
func (s *leaseCalls) settle(pollSentAt, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = slices.DeleteFunc(s.list, func(o *leaseCall) bool {
		if o.answered {
			return o.endedAt < pollSentAt
		}
		return o.endedAt != 0 && now > o.endedAt+maxOrderDelay
	})
}

// areTooOld reports whether all orders are so old that no lifetime can carry them out.
func (s *leaseCalls) areTooOld(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !slices.ContainsFunc(s.list, func(o *leaseCall) bool { return o.endedAt == 0 || now <= o.endedAt+maxOrderDelay })
}

// latestLeaseEnd returns the latest end of the lease that the orders may give to another
// lifetime, on its clock, which has been read now. maxLease is the longest lease that hosts
// accept, zero for no limit. It is zero if there are no orders.
func (s *leaseCalls) latestLeaseEnd(clock, now, maxLease time.Duration) (latest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.list {
		latest = max(latest, o.leaseEndOn(clock+(o.arrivesBy(now)-now), maxLease))
	}
	return latest
}

// leasesEndBy returns the time by which the leases have certainly expired that a lifetime may
// hold which has not been polled yet: that of each order which it has answered, and with
// unanswered also that of the others; zero if there are none.
func (s *leaseCalls) leasesEndBy(now, maxLease time.Duration, unanswered bool) (latest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.list {
		if o.answered || unanswered {
			latest = max(latest, o.latestArrival(now)+runsEndWithin(o.leaseEndOn(0, maxLease)))
		}
	}
	return latest
}

// latestArrival returns when the order was carried out at the latest, or will be.
func (o *leaseCall) latestArrival(now time.Duration) time.Duration {
	switch {
	case o.answered:
		return o.endedAt
	case o.endedAt == 0:
		return o.arrivesBy(now)
	default:
		return o.endedAt + maxOrderDelay
	}
}

// leaseEndOn returns the end of the lease that the order gives to a lifetime which carries it
// out when its own clock shows a time.
func (o *leaseCall) leaseEndOn(clock, maxLease time.Duration) time.Duration {
	if maxLease == 0 {
		return o.leaseEnd
	}
	return min(o.leaseEnd, clock+maxLease)
}

// unansweredRuns returns the runs whose start orders have got no answer.
func (s *leaseCalls) unansweredRuns() (out []schedule.Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.list {
		if o.run != (schedule.Run{}) && o.endedAt != 0 && !o.answered {
			out = append(out, o.run)
		}
	}
	return out
}

// hasUnanswered reports whether the start order of a run has got no answer.
func (s *leaseCalls) hasUnanswered(run schedule.Run) bool {
	return slices.Contains(s.unansweredRuns(), run)
}

// arrivesBy returns until when the order may be carried out.
func (o *leaseCall) arrivesBy(now time.Duration) time.Duration {
	switch {
	case o.answered:
		return now
	case o.endedAt == 0:
		return now + orderTimeout + maxOrderDelay
	default:
		return max(now, o.endedAt+maxOrderDelay)
	}
}
