package router

import "time"

// StatusInterval is how often a slot keeper asks a silent runner whether it
// leaves. With leases renewed every half second it keeps to the 3 s after which
// such a runner gets nothing new, also when its keeper changes meanwhile, which
// can cost a renewal.
const StatusInterval = time.Second

// StatusDue returns whether to ask a runner for its status now, and counts it
// as asked. A runner that answered a request of this node is asked one interval
// after that; one that leaves is asked always, to learn when it stays.
func (k *Keeper) StatusDue(now time.Duration, runner string, answered time.Duration) bool {
	r := k.runners[runner]
	if r == nil {
		return false
	}
	last := r.asked
	if !r.said.leaving {
		last = max(last, answered)
	}
	if last > 0 && now < last+StatusInterval {
		return false
	}
	r.asked = now
	return true
}

// SaidLeaving takes what a status, asked for at a time, says of a runner.
func (k *Keeper) SaidLeaving(asked time.Duration, runner string, leaving bool) {
	if r := k.runners[runner]; r != nil {
		r.asked = max(r.asked, asked)
		r.said.heard(asked, leaving)
	}
}

// Leaving returns whether a runner is known to leave.
func (k *Keeper) Leaving(runner string) bool {
	r := k.runners[runner]
	return r != nil && r.said.leaving
}
