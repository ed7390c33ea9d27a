package schedule

import (
	"cmp"
	"slices"
	"time"
)

// lateFactor is how many objectives a submission may take and still be worth
// something to its caller.
const lateFactor = 3

// Ranks of waiting groups; a lower one comes first.
const (
	// rankRepair is for gangs whose other members already wait on their hosts.
	rankRepair = iota
	// rankUrgent is for work of the first priority that can still be in time.
	rankUrgent
	// rankInTime is for other work that can still be in time, and for urgent
	// work that is late: it is small, and its laxity puts it first.
	rankInTime
	rankLate
	rankHopeless
	// rankExcess is added for what a team sends beyond its rate.
	rankExcess
)

// entry is a waiting group with the keys of its order.
type entry struct {
	group  *group
	rank   int
	laxity time.Duration
}

// queue returns the groups with waiting tasks in the order in which they are placed.
func (s *Scheduler) queue() []entry {
	var q []entry
	for _, g := range s.groups {
		if g.open && g.waiting > 0 && !g.job.unsettled {
			q = append(q, s.rank(g))
		}
	}
	slices.SortStableFunc(q, func(a, b entry) int {
		if c := cmp.Compare(a.rank, b.rank); c != 0 {
			return c
		}
		if c := cmp.Compare(a.laxity, b.laxity); c != 0 {
			return c
		}
		return cmp.Compare(a.group.job.order, b.group.job.order)
	})
	return q
}

// rank orders by what can still be in time, then by laxity: the time that is
// left beyond the work itself.
func (s *Scheduler) rank(g *group) entry {
	j := g.job
	work := j.chain(g.id.Step)
	e := entry{group: g, laxity: j.due - s.now - work}
	urgent := j.queue.Priority == 0
	switch {
	case g.step.Gang && g.run != 0:
		e.rank = rankRepair
		return e
	case j.sub.Timed(), g.step.Lasting, e.laxity >= 0:
		e.rank = rankInTime
		if urgent {
			e.rank = rankUrgent
		}
	case s.now+work <= j.arrived+lateFactor*(j.due-j.arrived):
		e.rank = rankLate
		if urgent {
			e.rank = rankInTime
		}
	default:
		e.rank = rankHopeless
	}
	if j.excess {
		e.rank += rankExcess
	}
	return e
}
