package scheduler

import "time"

// Decision is one action and the clock value at which it was decided.
type Decision struct {
	At     time.Duration
	Action Action
}

// ring is a ring buffer of the latest decisions.
type ring struct {
	list []Decision
	next int
	full bool
}

func newRing(n int) ring { return ring{list: make([]Decision, n)} }

func (r *ring) add(at time.Duration, a Action) {
	r.list[r.next] = Decision{At: at, Action: a}
	r.next++
	if r.next == len(r.list) {
		r.next, r.full = 0, true
	}
}

// Decisions returns the latest decisions, oldest first. Their number is
// bounded by Options.Decisions.
func (s *Scheduler) Decisions() []Decision {
	r := &s.decisions
	var out []Decision
	if r.full {
		out = append(out, r.list[r.next:]...)
	}
	return append(out, r.list[:r.next]...)
}
