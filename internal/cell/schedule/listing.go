package schedule

import (
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
	if l.StartedMs != 0 && l.StartedMs != h.life.startedMs {
		if h.life.startedMs != 0 {
			s.logMessage("", id, "The host has restarted; its runs are gone.")
			s.handleRestart(h, sent, l)
		}
		h.life = hostLifetime{startedMs: l.StartedMs, reportedSince: now}
	}
	s.settleCrashes(h, l.StartedMs)
	h.runsKnown, h.reachable = true, true
	h.reportGap, h.reportedAt, h.silent = now-h.reportedAt, now, false
	s.clearSuspectedRuns(h)
	for _, e := range l.Ended {
		if e.Number > h.life.lastEndNumber {
			h.life.lastEndNumber = e.Number
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
		h.settleEarlierRuns(GoneNotReported, now)
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
		s.continueTrial(a)
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
// from the same one, which is kept at the first task.
func (s *Scheduler) recordCheckpoint(t *task, value string) {
	if !t.group.step.Checkpoints {
		return
	}
	if t = t.countedAt(); t.checkpoint != value {
		t.checkpoint = value
		t.detailsChanged()
	}
}

// adopt takes over a run that this owner did not order, or orders it to stop.
func (s *Scheduler) adopt(h *host, key runKey) *taskRun {
	t := s.task(key.task)
	s.auditPresent(h, key, t)
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
	s.continueTrial(a)
	return a
}

// attach records a run that is or may be present on a host.
func (s *Scheduler) attach(t *task, h *host, run int64) *taskRun {
	a := &taskRun{task: t, run: run, host: h, orderedAt: s.now, checkpoint: t.resumesFrom(), resumed: t.resumesFrom() != ""}
	if len(t.runs) == 0 {
		t.group.present++
		t.group.job.present++
		if !t.done {
			t.group.waiting--
		}
	}
	t.runs = append(t.runs, a)
	t.group.countRun(h, 1)
	t.group.stopsOrdered = false
	t.group.job.survival = survival{}
	t.lastRun = max(t.lastRun, run)
	h.runs[runKey{t.id, run}] = a
	h.used = h.used.Add(t.group.size)
	if t.group.step.LongRunning {
		h.longRunning = h.longRunning.Add(t.group.size)
		t.group.job.team.longRunning = t.group.job.team.longRunning.Add(t.group.step.Size)
	}
	h.bestEffortCPU += t.group.bestEffortCPU()
	t.group.job.team.addUsage(t.group.step.Size, t.group.urgent(), 1, s.now)
	return a
}

// detach removes a run that is gone.
func (s *Scheduler) detach(a *taskRun) {
	delete(a.host.runs, runKey{a.task.id, a.run})
	a.endSuspicion()
	a.task.forgetTrial(a.run)
	s.forgetOldCrashes(a)
	a.host.used = a.host.used.Sub(a.task.group.size)
	if a.task.group.step.LongRunning {
		a.host.longRunning = a.host.longRunning.Sub(a.task.group.size)
		a.task.group.job.team.longRunning = a.task.group.job.team.longRunning.Sub(a.task.group.step.Size)
	}
	a.host.bestEffortCPU -= a.task.group.bestEffortCPU()
	j := a.task.group.job
	j.survival = survival{}
	j.team.addUsage(a.task.group.step.Size, a.task.group.urgent(), -1, s.now)
	for i, other := range a.task.runs {
		if other == a {
			a.task.runs = append(a.task.runs[:i:i], a.task.runs[i+1:]...)
			a.task.group.countRun(a.host, -1)
			break
		}
	}
	if len(a.task.runs) == 0 {
		a.task.waitingSince = s.now
		a.task.group.present--
		j.present--
		if !a.task.done {
			a.task.group.waiting++
		}
	}
	if g := a.task.group; g.step.Gang && g.present == 0 {
		g.run, g.memberEnded = 0, false
	}
	s.cleanupNeeded = s.cleanupNeeded || j.sub.Timed() && a.task.group.left == 0
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
		reason := GoneNotReported
		if a.stopAcceptedAt != 0 {
			reason = GoneStopAccepted
		}
		s.handleLostRun(a, reason)
	}
}

// handleLostRun handles a run that is gone although the host has not reported
// its end.
func (s *Scheduler) handleLostRun(a *taskRun, reason GoneReason) {
	if a.phase != phaseStopping {
		s.logMessage(a.task.id.Submission, a.host.spec.ID, "A run is gone, and its host has not reported an outcome.")
	}
	s.giveUp(a, reason)
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

// handleAllRunsGone handles the runs of a host that has none any more. restarted is set if
// the host is known to have restarted.
func (s *Scheduler) handleAllRunsGone(h *host, restarted bool) {
	reason := GoneLeaseExpired
	if restarted {
		reason = GoneOtherInstance
	}
	h.runsKnown = false
	h.settleEarlierRuns(reason, s.now)
	gone := h.sortedRuns()
	s.countCrashes(h, gone, restarted)
	s.handleLostRuns(gone, reason)
}

func (s *Scheduler) handleLostRuns(gone []*taskRun, reason GoneReason) {
	for _, a := range gone {
		s.handleLostRun(a, reason)
	}
}
