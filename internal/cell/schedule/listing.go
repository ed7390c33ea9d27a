package schedule

import (
	"slices"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

// ApplyReport applies a host's report about its runs. sent is when the request for
// the report was sent: runs that were known to be present before that and are
// missing from a complete report are gone.
func (s *Scheduler) ApplyReport(id string, sent, now time.Duration, l cell.HostReport) {
	h := s.hosts[id]
	if h == nil {
		return
	}
	s.now = now
	if h.startedMs != 0 && l.StartedMs != 0 && l.StartedMs != h.startedMs {
		s.logMessage("", id, "The host has restarted; its runs are gone.")
		if !h.crashed && !h.spec.Leaving {
			s.suspectRuns(h, h.reportedAt)
		}
		s.handleAllRunsGone(h)
		h.lastEndNumber = 0
	}
	if l.StartedMs != 0 {
		h.startedMs = l.StartedMs
	}
	h.runsKnown, h.reachable, h.earlierRunsUnknown = true, true, false
	h.reportedAt = now
	s.clearSuspectedRuns(h)
	for _, e := range l.Ended {
		if e.Number > h.lastEndNumber {
			h.lastEndNumber = e.Number
			s.applyEnded(h, e)
		}
	}
	present := make(map[runKey]bool, len(l.Running))
	h.unknownRuns = 0
	for _, r := range l.Running {
		key := runKey{r.Task, r.Run}
		present[key] = true
		s.applyRunning(h, key, r)
	}
	if !l.Partial {
		s.handleMissingRuns(h, present, sent)
	}
}

// applyRunning applies one run that a host reports as present.
func (s *Scheduler) applyRunning(h *host, key runKey, r cell.Running) {
	a := h.runs[key]
	if a == nil {
		a = s.adopt(h, key)
		if a == nil {
			return
		}
	}
	if a.phase == phaseStarting || a.phase == phaseUnanswered {
		a.phase, a.acceptedAt, a.lastProgressAt = phaseRunning, s.now, s.now
		s.markActive(a.task.group.job)
	}
	if r.UsageOrLatencyMs > 0 {
		s.usageReported = true
	}
	if r.Checkpoint != a.checkpoint || r.UsageOrLatencyMs > 0 {
		a.lastProgressAt = s.now
	}
	if target := a.task.group.step.LatencyTarget; target > 0 {
		a.trackTailLatency(time.Duration(r.UsageOrLatencyMs)*time.Millisecond, target, s.now)
	}
	a.checkpoint = r.Checkpoint
	if r.Checkpoint != "" {
		s.recordCheckpoint(a.task, r.Checkpoint)
	}
}

// recordCheckpoint records the checkpoint from which a task resumes. The
// checkpoint of any member is valid for a gang, and all members must resume
// from the same one.
func (s *Scheduler) recordCheckpoint(t *task, value string) {
	if !t.group.step.Checkpoints {
		return
	}
	if !t.group.step.Gang {
		t.checkpoint = value
		return
	}
	for _, m := range t.group.tasks {
		m.checkpoint = value
	}
}

// adopt takes over a run that this owner did not order, or orders it to stop.
func (s *Scheduler) adopt(h *host, key runKey) *taskRun {
	t := s.task(key.task)
	if t == nil {
		h.unknownRuns++
		s.plan.Stops = append(s.plan.Stops, Stop{Task: key.task, Run: key.run, Host: h.spec.ID, Reason: "unknown submission"})
		return nil
	}
	a := s.attach(t, h, key.run)
	a.phase, a.acceptedAt, a.lastProgressAt, a.adopted = phaseRunning, s.now, s.now, true
	g := t.group
	s.markActive(g.job)
	switch {
	case t.done || g.job.state.Final():
		s.stop(a, "the task is done or its submission has finished")
	case len(t.runs) > 1 && !g.step.AllowCopies:
		s.stop(a, "another run of the task is present")
	case g.step.Gang && g.run != 0 && g.run != key.run:
		s.stop(a, "another run of the gang is present")
	case g.step.Gang:
		g.run, g.startedAt = key.run, s.now
		s.logMessage(t.id.Submission, h.spec.ID, "A gang member that an earlier owner started continues running.")
	default:
		s.logMessage(t.id.Submission, h.spec.ID, "A run that an earlier owner started continues.")
	}
	return a
}

// attach records a run that is or may be present on a host.
func (s *Scheduler) attach(t *task, h *host, run int64) *taskRun {
	a := &taskRun{task: t, run: run, host: h, orderedAt: s.now, checkpoint: t.checkpoint, resumed: t.checkpoint != ""}
	if len(t.runs) == 0 {
		t.group.present++
		if !t.done {
			t.group.waiting--
		}
	}
	t.runs = append(t.runs, a)
	t.lastRun = max(t.lastRun, run)
	h.runs[runKey{t.id, run}] = a
	h.used = h.used.Add(t.group.size)
	h.bestEffortCPU += t.group.bestEffortCPU()
	t.group.job.team.addUsage(t.group.step.Size, t.group.urgent(), 1, s.now)
	return a
}

// detach removes a run that is gone.
func (s *Scheduler) detach(a *taskRun) {
	delete(a.host.runs, runKey{a.task.id, a.run})
	a.endSuspicion()
	a.task.forgetTrial(a.run)
	a.host.used = a.host.used.Sub(a.task.group.size)
	a.host.bestEffortCPU -= a.task.group.bestEffortCPU()
	j := a.task.group.job
	j.team.addUsage(a.task.group.step.Size, a.task.group.urgent(), -1, s.now)
	for i, other := range a.task.runs {
		if other == a {
			a.task.runs = append(a.task.runs[:i:i], a.task.runs[i+1:]...)
			break
		}
	}
	if len(a.task.runs) == 0 {
		a.task.waitingSince = s.now
		a.task.group.present--
		if !a.task.done {
			a.task.group.waiting++
		}
	}
	if g := a.task.group; g.step.Gang && g.present == 0 {
		g.run, g.memberEnded = 0, false
	}
	s.requestCleanupIfFinished(j)
}

// handleMissingRuns handles the runs that are missing from a host's report.
func (s *Scheduler) handleMissingRuns(h *host, present map[runKey]bool, sent time.Duration) {
	var gone []*taskRun
	for key, a := range h.runs {
		if present[key] {
			continue
		}
		switch a.phase {
		case phaseRunning:
			if a.acceptedAt < sent {
				gone = append(gone, a)
			}
		case phaseUnanswered:
			if a.unansweredAt < sent {
				s.stop(a, "the host did not answer the start order")
			}
		case phaseStopping:
			if a.stopAcceptedAt != 0 && a.stopAcceptedAt < sent {
				gone = append(gone, a)
			}
		}
	}
	sortRuns(gone)
	for _, a := range gone {
		s.handleLostRun(a)
	}
}

// handleLostRun handles a run that is gone although the host has not reported
// its end.
func (s *Scheduler) handleLostRun(a *taskRun) {
	if a.phase != phaseStopping {
		s.logMessage(a.task.id.Submission, a.host.spec.ID, "A run is gone, and its host has not reported an outcome.")
	}
	s.detach(a)
	s.stopIncompleteGang(a.task.group, "a member is gone")
}

// markMemberEnded records that a member has ended, so that the others are
// ending.
func (g *group) markMemberEnded(now time.Duration) {
	if !g.memberEnded {
		g.memberEnded, g.memberEndedAt = true, now
	}
}

// stopIncompleteGang orders a gang that lost a member to stop. It is not called for
// members that were refused: retryRefusedMembers places them again while the gang
// still waits for them.
func (s *Scheduler) stopIncompleteGang(g *group, reason string) {
	if g.step.Gang && g.left > 0 {
		if g.present > 0 {
			g.markMemberEnded(s.now)
		}
		s.stopGroup(g, reason)
	}
}

func (s *Scheduler) handleAllRunsGone(h *host) {
	all := make([]*taskRun, 0, len(h.runs))
	for _, a := range h.runs {
		all = append(all, a)
	}
	sortRuns(all)
	s.countCrashes(h, all)
	for _, a := range all {
		s.handleLostRun(a)
	}
}

// applyEnded applies one run that a host reports as ended.
func (s *Scheduler) applyEnded(h *host, e cell.Ended) {
	t := s.task(e.Task)
	if t == nil {
		return
	}
	t.lastRun = max(t.lastRun, e.Run)
	a := h.runs[runKey{e.Task, e.Run}]
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
		g.job.proven = true
		if g.step.LongRunning {
			return
		}
		if a != nil && a.measuresHostSpeed() {
			h.health.recordSuccess(s.now-a.orderedAt, g.step.Estimate)
		}
		s.markDone(t)
	case cell.OutcomeFailed:
		if a == nil || a.phase != phaseStopping {
			h.health.recordFailure(s.now)
		}
		s.countFailure(t, h, e.Run)
	case cell.OutcomeLeaseExpired, cell.OutcomeGangTimeout:
		s.stopIncompleteGang(g, "a member of the gang ended with the outcome "+e.Outcome.String())
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
		m.done, m.checkpoint = true, ""
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
	s.changed[j.sub.ID] = true
	s.logMessage(j.sub.ID, h.spec.ID, "A run has failed.")
	if j.queue.MaxAttempts > 0 && len(t.failures) >= j.queue.MaxAttempts {
		s.finalize(j, cell.Failed, "a task has reached the queue's limit of failed runs")
	}
}
