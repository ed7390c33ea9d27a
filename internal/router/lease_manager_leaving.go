package router

import "time"

// StatusInterval is the interval at which a lease manager asks a runner that has
// not answered a request whether it is leaving. A leaving runner must get no new
// request after 3 s. With leases renewed every half second, one second satisfies
// this even if the lease manager changes meanwhile, which can cost one renewal.
const StatusInterval = time.Second

// StatusDue reports whether a status call to a runner is due, and if so records
// it as sent. lastAnswerAt is the time at which the runner last answered a
// request of this node; the call is due one StatusInterval after that. For a
// leaving runner answers do not count: it is asked once per StatusInterval, so
// that the manager learns when it is available again.
func (k *LeaseManager) StatusDue(now time.Duration, runner string, lastAnswerAt time.Duration) bool {
	r := k.runners[runner]
	if r == nil {
		return false
	}
	last := r.statusAskedAt
	if !r.reported.leaving {
		last = max(last, lastAnswerAt)
	}
	if last > 0 && now < last+StatusInterval {
		return false
	}
	r.statusAskedAt = now
	return true
}

// RecordLeaving records whether a runner is leaving according to a status call
// that was sent at a time.
func (k *LeaseManager) RecordLeaving(askedAt time.Duration, runner string, leaving bool) {
	if r := k.runners[runner]; r != nil {
		r.statusAskedAt = max(r.statusAskedAt, askedAt)
		r.reported.update(askedAt, leaving)
	}
}

// Leaving reports whether a runner is known to be leaving.
func (k *LeaseManager) Leaving(runner string) bool {
	r := k.runners[runner]
	return r != nil && r.reported.leaving
}
