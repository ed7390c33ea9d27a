package schedule

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/runtimes"
)

// observable reports whether the duration of a run since its order is that of the whole
// task: neither its beginning was under an earlier owner nor did it resume from a checkpoint.
func (a *taskRun) observable() bool {
	return !a.adopted && !a.resumed && a.task.group.runTimesLearned()
}

// observeDone learns from a run that ended as done. Failed runs are not learned from: when
// a task fails says little about how long it takes. One that was ordered to stop has been
// observed then.
func (s *Scheduler) observeDone(a *taskRun) {
	if !a.observable() || a.phase == phaseStopping {
		return
	}
	if a.task.group.step.Gang {
		s.observeGang(a, false)
		return
	}
	if gap := a.host.reportGap; gap > lateReport {
		// The run ended at an unknown time since the report before.
		s.observe(a, s.now-gap-a.orderedAt, true)
		return
	}
	s.observe(a, s.now-a.orderedAt, false)
}

// observeStopped learns from a run that is about to be ordered to stop that it would have
// taken longer. That is not so for a run that makes no progress. Of a gang, the first member
// counts.
func (s *Scheduler) observeStopped(a *taskRun) {
	if s.learning == nil || !a.observable() || a.phase != phaseRunning || s.standsStill(a) {
		return
	}
	if a.task.group.step.Gang {
		s.observeGang(a, true)
		return
	}
	until := s.now
	if s.now-a.host.reportedAt > lateReport {
		until = a.host.reportedAt // it may have ended since
	}
	s.observe(a, until-a.orderedAt, true)
}

// standsStill reports whether a run has shown no progress for as long as that of a first run
// that counts as hung. Such a run says nothing about the duration of its task.
func (s *Scheduler) standsStill(a *taskRun) bool {
	return s.usageReported && a.task.group.step.Size.MilliCPU > 0 && s.now-a.lastProgressAt > noProgressTimeout
}

// observeLapsed learns from a run whose lease lapsed. It ran at least until it was last
// seen to make progress. A gang that lost a member so is not observed.
func (s *Scheduler) observeLapsed(a *taskRun, o cell.Outcome) {
	if s.learning == nil || a == nil || o != cell.OutcomeLeaseExpired || !a.observable() || a.task.group.step.Gang || a.phase == phaseStopping {
		return
	}
	s.observe(a, a.lastProgressAt-a.orderedAt, true)
}

// observe learns from a run outside a gang.
func (s *Scheduler) observe(a *taskRun, took time.Duration, censored bool) {
	g, slowness := a.task.group, a.host.health.slowness
	s.learnHostSpeed(a, took, censored)
	s.learning.observe(g.runTimeKey(), runtimes.Run{
		Estimate: g.step.Estimate, Took: took, HostSpeed: 1 / slowness, Host: a.host.spec.ID,
	}, censored)
}

// observeGang learns from a gang of which a run has ended first, or is about to be stopped
// while all members run. Members wait for each other at their start and end, so that the gang
// takes as long as its slowest host, from the start of its last member on. It counts once.
func (s *Scheduler) observeGang(a *taskRun, censored bool) {
	g := a.task.group
	begun, slowest, runs := a.orderedAt, a.host, 0
	for _, t := range g.tasks {
		for _, r := range t.runs {
			if !r.observable() || r.phase != phaseRunning && censored {
				return
			}
			runs++
			begun = max(begun, r.orderedAt)
			if r.host.health.slowness > slowest.health.slowness {
				slowest = r.host
			}
		}
	}
	if censored && runs < len(g.tasks) || !censored && a.host.reportGap > lateReport {
		return
	}
	s.learning.observe(g.runTimeKey(), runtimes.Run{
		Estimate: g.step.Estimate, Took: s.now - begun, HostSpeed: 1 / slowest.health.slowness, Host: slowest.spec.ID,
	}, censored)
}
