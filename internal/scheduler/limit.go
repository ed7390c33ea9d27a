package scheduler

import "github.com/medlarpulley/medlarpulley/internal/resource"

// limit is an upper limit and the units of it that this shard may use.
type limit struct {
	spec     Limit
	allotted int64
	used     int64
	// maybeRunning counts the units of tasks that may run without being bound
	// to a host.
	maybeRunning int64
	// heldUnits counts the units of holds for spanning gangs.
	heldUnits     int64
	overAllotment bool
	// waiting lists job groups for whose next start the limit had too few free
	// units.
	waiting []*jobGroup
	// keptFor is a job that waited longer than MaxWait and needs more units
	// than are free. Nothing else of the limit starts before it.
	keptFor *job
}

// uncoverableCost is the cost in units of a task that needs a resource which
// the unit lacks.
const uncoverableCost = 1 << 40

// cost returns the units that one task takes.
func (l *limit) cost(size resource.Vector) int64 {
	if n, ok := size.UnitsNeeded(l.spec.Unit); ok {
		return n
	}
	return uncoverableCost
}

func (l *limit) room() int64 { return l.allotted - l.used - l.maybeRunning - l.heldUnits }

// resumeFitting resumes the waiting groups whose next start fits the free
// units.
func (s *Scheduler) resumeFitting(l *limit) {
	room, keep := l.room(), l.waiting[:0]
	for _, g := range l.waiting {
		if g.cost <= room {
			s.resumeGroup(g)
		} else {
			keep = append(keep, g)
		}
	}
	clear(l.waiting[len(keep):])
	l.waiting = keep
}

func (s *Scheduler) waitForLimit(l *limit, g *jobGroup) {
	if !g.waitsForLimit {
		g.waitsForLimit = true
		l.waiting = append(l.waiting, g)
		s.relistGroup(g)
	}
}

// resumeAll resumes every waiting group, after a change that may let a group
// start whose units were free before: of the job that the units are kept for,
// the units that may be in use, the allotment or the contract.
func (s *Scheduler) resumeAll(l *limit) {
	for _, g := range l.waiting {
		s.resumeGroup(g)
	}
	clear(l.waiting)
	l.waiting = l.waiting[:0]
}

// resumeGroup lists a group that waited for the limit. Its requirement is
// unblocked, since hosts that gained free capacity meanwhile were not recorded
// for it.
func (s *Scheduler) resumeGroup(g *jobGroup) {
	g.waitsForLimit = false
	s.unblock(g.requirement)
	s.relistGroup(g)
}

// checkLimit lists a limit that exceeds its allotment. Before the first
// allotments are known nothing starts, and nothing is stopped either.
func (s *Scheduler) checkLimit(l *limit) {
	if s.allotments != nil && l.used > l.allotted && !l.overAllotment {
		l.overAllotment = true
		s.overLimits = append(s.overLimits, l)
	}
}
