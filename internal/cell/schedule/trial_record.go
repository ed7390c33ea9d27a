package schedule

import (
	"slices"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

// recordTrial records a run that starts under trial, and its host, for a later owner.
func (t *task) recordTrial(run int64, h *host) {
	if t.trialRun != run {
		t.trialRun, t.trialHosts = run, nil
	}
	if on := h.instance(); !slices.Contains(t.trialHosts, on) {
		t.trialHosts = append(slices.Clip(t.trialHosts), on) // a stored copy may be read meanwhile
		t.detailsChanged()
	}
}

// continueTrial keeps the host of a run that an earlier owner started under trial free of
// other work until the trial has ended.
func (s *Scheduler) continueTrial(a *taskRun) {
	if a.adopted && a.phase == phaseRunning && a.task.countedAt().trialRun == a.run {
		a.host.trial, a.host.quarantinedFor = a, a.task.group
	}
}

// forgetTrial records that the outcome of a trial is known, or that it did not begin.
func (t *task) forgetTrial(run int64) {
	if c := t.countedAt(); c.trialRun == run {
		c.trialRun, c.trialHosts = 0, nil
		c.detailsChanged()
	}
}

// countUnknownTrials counts a crash for each trial that an earlier owner began and of
// which no run is known, now that all runs of earlier owners are known. None is counted
// if its hosts have not restarted: then the run did not start.
func (s *Scheduler) countUnknownTrials() {
	for _, g := range s.liveGroups() {
		for _, t := range g.tasks {
			if t.trialRun == 0 || t.trialRun > s.options.RunNumberBase || t.done || g.present > 0 || t.evidence.Counts(t.trialRun, false) {
				continue
			}
			c, crashed := s.crashOfTrial(t)
			t.trialRun, t.trialHosts = 0, nil
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

// crashOfTrial returns the crash to count for a trial with an unknown outcome; ok is
// false if its hosts have not crashed.
func (s *Scheduler) crashOfTrial(t *task) (c cell.Crash, ok bool) {
	c = cell.Crash{Run: t.trialRun, Silent: true}
	if len(t.trialHosts) == 0 {
		ok, c.Silent = true, false // recorded without its hosts
	}
	for _, o := range t.trialHosts {
		h := s.hosts[o.ID]
		switch {
		case h == nil, h.restarted, h.life.startedMs != 0 && h.life.startedMs != o.StartedMs:
			ok, c.Silent = true, false
		case h.life.startedMs == 0:
			ok = true // the host has not answered this owner
		}
	}
	if !c.Silent {
		c.Recent, c.Suspects = true, 1
	}
	return c, ok
}
