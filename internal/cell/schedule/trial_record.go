package schedule

import "github.com/medlarpulley/medlarpulley/internal/cell/trial"

// recordTrial records a run that starts under trial, and its host, for a later owner.
func (t *task) recordTrial(run int64, h *host) {
	if t.trial.Begin(run, h.instance()) {
		t.detailsChanged()
	}
}

// continueTrial keeps the host of a run that an earlier owner started under trial free of
// other work until the trial has ended.
func (s *Scheduler) continueTrial(a *taskRun) {
	if a.adopted && a.phase == phaseRunning && a.task.countedAt().trial.Run == a.run {
		a.host.trial, a.host.quarantinedFor = a, a.task.group
	}
}

// forgetTrial records that the outcome of a trial is known, or that it did not begin.
func (t *task) forgetTrial(run int64) {
	if c := t.countedAt(); c.trial.Run == run {
		c.trial.End()
		c.detailsChanged()
	}
}

// countUnknownTrials counts a crash for each trial that an earlier owner began and of
// which no run is known, now that all runs of earlier owners are known. None is counted
// if its hosts have not restarted: then the run did not start.
func (s *Scheduler) countUnknownTrials() {
	for _, g := range s.liveGroups() {
		for _, t := range g.tasks {
			if t.trial.Run == 0 || t.trial.Run > s.options.RunNumberBase || t.done || g.present > 0 || t.evidence.Counts(t.trial.Run, false) {
				continue
			}
			c, crashed := t.trial.Crash(s.hostLife)
			t.trial.End()
			t.detailsChanged()
			s.changed[t.id.Submission] = true
			if !crashed {
				continue
			}
			t.evidence.Confirmed = append(t.evidence.Confirmed, c)
			s.logMessage(t.id.Submission, "", "The outcome of a task that an earlier owner started alone is unknown; its host is assumed to have crashed.")
			s.judge(t, false)
		}
	}
}

// hostLife returns what is known of the present lifetime of a host, nil if the host is unknown.
func (s *Scheduler) hostLife(id string) *trial.Life {
	h := s.hosts[id]
	if h == nil {
		return nil
	}
	return &trial.Life{Restarted: h.restarted, StartedMs: h.life.startedMs}
}
