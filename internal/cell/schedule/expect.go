package schedule

import "github.com/medlarpulley/medlarpulley/internal/cell/runtimes"

// expected returns how long a task of a group is expected to run on a host, or on a host of
// normal speed if h is nil.
func (s *Scheduler) expected(g *group, h *host) runtimes.Expectation {
	return runtimes.Exactly(g.estimate(h))
}

// remaining returns how much longer a run is expected to take. One that has exceeded its
// estimate is expected to exceed it by as much again.
func (s *Scheduler) remaining(r *taskRun) runtimes.Expectation {
	left := r.orderedAt + r.task.group.estimate(r.host) - s.now
	if left <= 0 {
		left = max(-left, overdueExtension)
	}
	return runtimes.Exactly(left)
}
