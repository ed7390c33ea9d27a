package schedule

import (
	"slices"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

// Listed applies what a host reports about its runs. sent is when the look was
// sent: runs that were known to be present before and are not listed are gone.
func (s *Scheduler) Listed(id string, sent, now time.Duration, l cell.Listing) {
	h := s.hosts[id]
	if h == nil {
		return
	}
	s.now = now
	if h.born != 0 && l.Born != 0 && l.Born != h.born {
		s.note("", id, "Host has restarted; its runs are gone.")
		s.vanishAll(h)
		h.endSeen = 0
	}
	if l.Born != 0 {
		h.born = l.Born
	}
	h.known, h.reachable = true, true
	for _, e := range l.Ended {
		if e.Number > h.endSeen {
			h.endSeen = e.Number
			s.ended(h, e)
		}
	}
	present := make(map[runKey]bool, len(l.Running))
	h.foreign = 0
	for _, r := range l.Running {
		key := runKey{r.Task, r.Run}
		present[key] = true
		s.running(h, key, r)
	}
	if !l.Partial {
		s.missing(h, present, sent)
	}
}

// running applies one listed run.
func (s *Scheduler) running(h *host, key runKey, r cell.Running) {
	a := h.attempts[key]
	if a == nil {
		a = s.adopt(h, key)
		if a == nil {
			return
		}
	}
	if a.phase == phaseStarting || a.phase == phaseUnknown {
		a.phase, a.acceptedAt, a.movedAt = phaseRunning, s.now, s.now
	}
	if r.Usage > 0 {
		s.usageSeen = true
	}
	if r.Checkpoint != a.checkpoint || r.Usage > 0 {
		a.movedAt = s.now
	}
	if target := a.task.group.step.LatencyTarget; target > 0 {
		a.observeTail(time.Duration(r.Usage)*time.Millisecond, target, s.now)
	}
	a.checkpoint = r.Checkpoint
	if r.Checkpoint != "" {
		s.keepCheckpoint(a.task, r.Checkpoint)
	}
}

// keepCheckpoint remembers from where a task resumes. That of any member is
// valid for a gang, and all members must resume from the same.
func (s *Scheduler) keepCheckpoint(t *task, value string) {
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

// adopt takes over a run that this owner has not ordered, or orders its end.
func (s *Scheduler) adopt(h *host, key runKey) *attempt {
	t := s.task(key.task)
	if t == nil {
		h.foreign++
		s.plan.Stops = append(s.plan.Stops, Stop{Task: key.task, Run: key.run, Host: h.spec.ID, Reason: "unknown submission"})
		return nil
	}
	a := s.attach(t, h, key.run)
	a.phase, a.acceptedAt, a.movedAt, a.adopted = phaseRunning, s.now, s.now, true
	g := t.group
	switch {
	case t.done || g.job.state.Final():
		s.stop(a, "the task is over")
	case len(t.attempts) > 1 && !g.step.Copies:
		s.stop(a, "another run of the task is present")
	case g.step.Gang && g.run != 0 && g.run != key.run:
		s.stop(a, "another run of the gang is present")
	case g.step.Gang:
		g.run, g.startedAt = key.run, s.now
		s.note(t.id.Submission, h.spec.ID, "A running member of a gang is adopted.")
	default:
		s.note(t.id.Submission, h.spec.ID, "A running task is adopted.")
	}
	return a
}

// attach records a run that is or may be present on a host.
func (s *Scheduler) attach(t *task, h *host, run int64) *attempt {
	a := &attempt{task: t, run: run, host: h, orderedAt: s.now, checkpoint: t.checkpoint, resumed: t.checkpoint != ""}
	if len(t.attempts) == 0 {
		t.group.present++
		if !t.done {
			t.group.waiting--
		}
	}
	t.attempts = append(t.attempts, a)
	t.lastRun = max(t.lastRun, run)
	h.attempts[runKey{t.id, run}] = a
	h.used = h.used.Add(t.group.size)
	h.filling += t.group.filling()
	t.group.job.team.add(t.group.step.Size, t.group.urgent(), 1, s.now)
	return a
}

// detach removes a run that is gone.
func (s *Scheduler) detach(a *attempt) {
	delete(a.host.attempts, runKey{a.task.id, a.run})
	a.host.used = a.host.used.Sub(a.task.group.size)
	a.host.filling -= a.task.group.filling()
	j := a.task.group.job
	j.team.add(a.task.group.step.Size, a.task.group.urgent(), -1, s.now)
	for i, other := range a.task.attempts {
		if other == a {
			a.task.attempts = append(a.task.attempts[:i:i], a.task.attempts[i+1:]...)
			break
		}
	}
	if len(a.task.attempts) == 0 {
		a.task.waitingSince = s.now
		a.task.group.present--
		if !a.task.done {
			a.task.group.waiting++
		}
	}
	if g := a.task.group; g.step.Gang && g.present == 0 {
		g.run, g.breaking = 0, false
	}
	s.dropIfGone(j)
}

// missing handles the runs that a host does not list.
func (s *Scheduler) missing(h *host, present map[runKey]bool, sent time.Duration) {
	var gone []*attempt
	for key, a := range h.attempts {
		if present[key] {
			continue
		}
		switch a.phase {
		case phaseRunning:
			if a.acceptedAt < sent {
				gone = append(gone, a)
			}
		case phaseUnknown:
			if a.unknownAt < sent {
				s.stop(a, "the start got no answer")
			}
		case phaseStopping:
			if a.stopAnsweredAt != 0 && a.stopAnsweredAt < sent {
				gone = append(gone, a)
			}
		}
	}
	sortAttempts(gone)
	for _, a := range gone {
		s.vanish(a)
	}
}

// vanish handles a run that is gone without a listed end.
func (s *Scheduler) vanish(a *attempt) {
	if a.phase != phaseStopping {
		s.note(a.task.id.Submission, a.host.spec.ID, "A run is gone without a listed end.")
	}
	s.detach(a)
	s.breakGang(a.task.group, "a member is gone")
}

// breaks notes that a member has ended, so that the others are ending.
func (g *group) breaks(now time.Duration) {
	if !g.breaking {
		g.breaking, g.brokenAt = true, now
	}
}

// breakGang orders the end of a gang that lost a member. Members that were
// refused are placed again instead while the gang still waits for them.
func (s *Scheduler) breakGang(g *group, reason string) {
	if g.step.Gang && g.left > 0 {
		if g.present > 0 {
			g.breaks(s.now)
		}
		s.stopGroup(g, reason)
	}
}

func (s *Scheduler) vanishAll(h *host) {
	all := make([]*attempt, 0, len(h.attempts))
	for _, a := range h.attempts {
		all = append(all, a)
	}
	sortAttempts(all)
	for _, a := range all {
		s.vanish(a)
	}
}

// ended applies one listed end.
func (s *Scheduler) ended(h *host, e cell.Ended) {
	t := s.task(e.Task)
	if t == nil {
		return
	}
	t.lastRun = max(t.lastRun, e.Run)
	a := h.attempts[runKey{e.Task, e.Run}]
	if a != nil {
		s.detach(a)
	}
	if t.done || t.group.job.state.Final() {
		return
	}
	g := t.group
	if g.step.Gang && g.present > 0 && e.Outcome != cell.OutcomeDone {
		g.breaks(s.now)
	}
	if e.Checkpoint != "" && e.Outcome != cell.OutcomeDone {
		s.keepCheckpoint(t, e.Checkpoint)
	}
	switch e.Outcome {
	case cell.OutcomeDone:
		if g.step.Lasting {
			return
		}
		if a != nil && a.measurable() {
			h.health.succeeded(s.now-a.orderedAt, g.step.Estimate)
		}
		s.finish(t)
	case cell.OutcomeFailed:
		if a == nil || a.phase != phaseStopping {
			h.health.failed(s.now)
		}
		s.failed(t, h, e.Run)
	case cell.OutcomeLapsed, cell.OutcomeAlone:
		s.breakGang(g, "a member ended as "+e.Outcome.String())
	}
}

// measurable reports whether the duration of the run tells the speed of its host.
func (a *attempt) measurable() bool {
	return !a.adopted && !a.resumed && !a.task.group.step.Gang
}

// finish marks a task as done; one done end stands for a whole gang.
func (s *Scheduler) finish(t *task) {
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
		for _, a := range m.attempts {
			if !g.step.Gang {
				s.stop(a, "another run of the task is done")
			}
		}
	}
	s.changed[j.sub.ID] = true
	if g.left == 0 {
		g.open = false
		s.openGroups(j)
	}
	s.finishIfDone(j)
}

// failed counts a failed run.
func (s *Scheduler) failed(t *task, h *host, run int64) {
	g, j := t.group, t.group.job
	t.failedOn = h.spec.ID
	if g.step.Gang {
		t = g.tasks[0] // a gang fails as one
	}
	if g.step.Lasting || slices.Contains(t.failures, run) {
		return
	}
	t.failures = append(t.failures, run)
	s.changed[j.sub.ID] = true
	s.note(j.sub.ID, h.spec.ID, "A run has failed.")
	if j.queue.MaxAttempts > 0 && len(t.failures) >= j.queue.MaxAttempts {
		s.end(j, cell.Failed, "a task has failed as often as the queue allows")
	}
}
