package scheduler

import "github.com/medlarpulley/medlarpulley/internal/resource"

// limit is an upper limit and its part in this shard, in contract units.
type limit struct {
	spec     Limit
	allotted int64
	used     int64
	// maybe counts the units of tasks that may run without being bound to a host.
	maybe int64
	// held counts the units of holds for spanning gangs.
	held int64
	over bool
	// parked lists lanes that had no room in the limit.
	parked []*lane
	// holder is an aged job that waits for room; nothing else of the limit
	// starts before it.
	holder *job
}

// uncoverable is the cost of a task that needs a resource which the unit lacks.
const uncoverable = 1 << 40

// cost returns the units of one task.
func (l *limit) cost(size resource.Vector) int64 {
	if n, ok := size.UnitsNeeded(l.spec.Unit); ok {
		return n
	}
	return uncoverable
}

func (l *limit) room() int64 { return l.allotted - l.used - l.maybe - l.held }

// wakeLimit unparks the lanes that fit into the room.
func (s *Scheduler) wakeLimit(l *limit) {
	room, keep := l.room(), l.parked[:0]
	for _, n := range l.parked {
		if n.cost <= room {
			s.admit(n)
		} else {
			keep = append(keep, n)
		}
	}
	clear(l.parked[len(keep):])
	l.parked = keep
}

func (s *Scheduler) park(l *limit, n *lane) {
	if !n.overLimit {
		n.overLimit = true
		l.parked = append(l.parked, n)
		s.relist(n)
	}
}

// unpark wakes every lane, after a change that is not only more room.
func (s *Scheduler) unpark(l *limit) {
	for _, n := range l.parked {
		s.admit(n)
	}
	clear(l.parked)
	l.parked = l.parked[:0]
}

// admit lists a lane that was parked. Its shape is tried again, since hosts
// that gained room meanwhile were not kept for it.
func (s *Scheduler) admit(n *lane) {
	n.overLimit = false
	s.unblock(n.shape)
	s.relist(n)
}

// checkLimit lists a limit that is over its allotment. Before the first
// allotments are known nothing starts, and nothing is stopped either.
func (s *Scheduler) checkLimit(l *limit) {
	if s.allotments != nil && l.used > l.allotted && !l.over {
		l.over = true
		s.overLimits = append(s.overLimits, l)
	}
}
