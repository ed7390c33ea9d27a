package schedule

import (
	"math"
	"time"
)

// prefetchAdvice requests advice for steps that become ready soon.
func (s *Scheduler) prefetchAdvice() {
	for _, g := range s.liveGroups() {
		p := g.policy()
		if p == nil || g.ready || g.left == 0 || g.job.state.Final() || g.advice.inFlight || len(g.advice.tickets) > 0 || g.job.sub.Timed() {
			continue
		}
		if s.readyWithin(g, p.CallDuration(adviceHostLimit(p))) {
			s.requestAdviceOnUndecidedHosts(g)
		}
	}
}

// readyWithin reports whether the steps that a group depends on are expected to
// end within the duration d.
func (s *Scheduler) readyWithin(g *group, d time.Duration) bool {
	for _, a := range g.step.After {
		earlier := g.job.stepGroup(g.id.Occurrence, a)
		if earlier != nil && s.expectedGroupEnd(earlier) > s.now+d {
			return false
		}
	}
	return true
}

// expectedGroupEnd returns when all tasks of a group are expected to be done, a very late
// time if one of them is not known to run. Many steps may depend on one with many tasks, so
// that its tasks are examined once in a decision.
func (s *Scheduler) expectedGroupEnd(g *group) time.Duration {
	if g.endsByIn == s.decision {
		return g.endsBy
	}
	g.endsByIn, g.endsBy = s.decision, 0
	for _, t := range g.tasks {
		if t.done {
			continue
		}
		if len(t.runs) == 0 || t.runs[0].acceptedAt == 0 {
			g.endsBy = math.MaxInt64
			break
		}
		g.endsBy = max(g.endsBy, t.runs[0].acceptedAt+s.expected(g, t.runs[0].host).Median)
	}
	return g.endsBy
}
