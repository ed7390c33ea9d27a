package schedule

import (
	"slices"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

// applyEnded applies one run that a host reports as ended.
func (s *Scheduler) applyEnded(h *host, e cell.Ended) {
	t := s.task(e.Task)
	key := runKey{e.Task, e.Run}
	a := h.runs[key]
	if e.Outcome == cell.OutcomeDone {
		s.auditDone(h, key, t, a)
	}
	if t == nil {
		return
	}
	t.lastRun = max(t.lastRun, e.Run)
	if a != nil {
		s.detach(a)
	}
	if t.done || t.group.job.state.Final() {
		return
	}
	g := t.group
	s.markActive(g.job)
	if g.step.Gang && g.present > 0 && e.Outcome != cell.OutcomeDone {
		g.markMemberEnded(s.now)
	}
	if e.Checkpoint != "" && e.Outcome != cell.OutcomeDone {
		s.recordCheckpoint(t, e.Checkpoint)
	}
	switch e.Outcome {
	case cell.OutcomeDone:
		s.clear(t, h.spec.ID)
		g.job.proven, g.job.failedOn = true, ""
		g.job.doneRuns++
		if g.step.LongRunning {
			return
		}
		s.recordSuccess(a)
		s.recordDone(t, e.Run, h.spec.ID)
		s.markDone(t)
	case cell.OutcomeFailed:
		if a == nil || a.phase != phaseStopping {
			s.recordFailedRun(g.job, h)
		}
		s.countFailure(t, h, e.Run)
	case cell.OutcomeLeaseExpired, cell.OutcomeGangTimeout:
		s.observeLapsed(a, e.Outcome)
		s.stopIncompleteGang(g, "a member of the gang ended with the outcome "+e.Outcome.String())
	}
}

// recordSuccess learns from a run that ended as done; a is nil if it is unknown.
func (s *Scheduler) recordSuccess(a *taskRun) {
	if a == nil {
		return
	}
	if s.learning != nil {
		s.observeDone(a)
	}
	if !a.measuresHostSpeed() {
		return
	}
	if s.learning != nil {
		a.host.health.resetFailures()
	} else {
		a.host.health.recordSuccess(s.now-a.orderedAt, a.task.group.step.Estimate)
	}
}

// measuresHostSpeed reports whether the duration of the run is a measure of its
// host's speed.
func (a *taskRun) measuresHostSpeed() bool {
	return !a.adopted && !a.resumed && !a.task.group.step.Gang
}

// markDone marks a task as done. One member of a gang that ends as done
// completes the whole gang.
func (s *Scheduler) markDone(t *task) {
	g, j := t.group, t.group.job
	members := []*task{t}
	if g.step.Gang {
		members = g.tasks
	}
	for _, m := range members {
		if m.done {
			continue
		}
		if m.waiting() {
			g.waiting--
		}
		if m.hasDetails() {
			m.detailsChanged()
		}
		m.done, m.checkpoint = true, ""
		j.doneTasks.Set(g.firstTask + m.id.Index)
		g.left--
		j.left--
		for _, a := range m.runs {
			if !g.step.Gang {
				s.stop(a, "another run of the task is done")
			}
		}
	}
	s.changed[j.sub.ID] = true
	if g.left == 0 {
		g.ready = false
		j.doneGroups.Set(g.id.Occurrence*j.steps + g.id.Step)
		s.cleanupNeeded = s.cleanupNeeded || j.sub.Timed()
		s.markReady(j.occurrence(g.id.Occurrence))
	}
	s.finishIfDone(j)
}

// countFailure counts a failed run. A run that the host reports again is not
// counted twice.
func (s *Scheduler) countFailure(t *task, h *host, run int64) {
	g, j := t.group, t.group.job
	t.failedOn = h.spec.ID
	if g.step.Gang {
		t = g.tasks[0] // failures of a gang are counted at its first task
	}
	if g.step.LongRunning || slices.Contains(t.failures, run) {
		return
	}
	t.failures = append(t.failures, run)
	t.detailsChanged()
	s.changed[j.sub.ID] = true
	s.logMessage(j.sub.ID, h.spec.ID, "A run has failed.")
	if j.queue.MaxAttempts > 0 && len(t.failures) >= j.queue.MaxAttempts {
		s.finalize(j, cell.Failed, "a task has reached the queue's limit of failed runs")
	}
}
