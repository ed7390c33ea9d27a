package schedule

import "github.com/medlarpulley/medlarpulley/internal/cell/runtimes"

// expected returns how long a task of a group is expected to run on a host, or on a host of
// normal speed if h is nil.
func (s *Scheduler) expected(g *group, h *host) runtimes.Expectation {
	switch {
	case s.learning == nil:
		return runtimes.Exactly(g.estimate(h))
	case h == nil:
		return s.learnedExpectation(g)
	}
	return s.learnedExpectation(g).Times(h.health.slowness)
}

// remaining returns how much longer a run is expected to take. One that has exceeded its
// estimate, or every run that the expectation is derived from, is expected to exceed it by as
// much again.
func (s *Scheduler) remaining(r *taskRun) runtimes.Expectation {
	g := r.task.group
	if s.learning != nil && g.runTimesLearned() {
		return s.learning.model.Remaining(g.runTimeKey(), g.step.Estimate, 1/r.host.health.slowness, s.now-r.orderedAt)
	}
	return runtimes.Exactly(runtimes.UntilEnd(g.estimate(r.host), s.now-r.orderedAt))
}
