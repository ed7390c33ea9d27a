package schedule

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

const (
	// crashWindow is how long before a crash a run may have started to be the suspected
	// cause. If no run has, every run on the host may be the cause.
	crashWindow = 150 * time.Millisecond
	// sameOrders is the time between the starts of orders that are sent together. Of the
	// runs in the window the last ones are suspected most: a run that crashes its host at
	// its start leaves no time for later ones.
	sameOrders = 30 * time.Millisecond
	// crashesUnlessRecent is how often the host of a task has to crash, without the task
	// having started right before, until the task is suspected.
	crashesUnlessRecent = 2
	// crashesToFail is how many crashes show that a task crashes its hosts if it was
	// alone on the last one. crashesToFailBlamed is how many do otherwise if few others
	// may have caused them, which is the case from blameToFail on, and maxCrashes how
	// many in any case.
	crashesToFail       = 2
	crashesToFailBlamed = 3
	blameToFail         = 1.5
	maxCrashes          = 5
	// trialDuration is how long a task that was suspected since it had started right
	// before a crash has to run alone on a host to be cleared.
	trialDuration = 3 * crashWindow
	// lateTrialDuration applies if a task may crash its host late.
	lateTrialDuration = 10 * time.Second
)

// MarkCrashed records that the process of a host has gone, not before a time. The
// runs that may be the cause are suspected; the suspicion ends if the host answers
// without having restarted. A host that leaves ends its runs by itself. It reports
// whether the host had not been known to have crashed.
func (s *Scheduler) MarkCrashed(id string, notBefore, now time.Duration) bool {
	s.now = now
	h := s.hosts[id]
	if h == nil || h.spec.Leaving || h.crashed {
		return false
	}
	s.suspectRuns(h, notBefore)
	return true
}

// suspectRuns marks the runs that may be the cause of a crash.
func (s *Scheduler) suspectRuns(h *host, notBefore time.Duration) {
	h.crashed = true
	inWindow := func(a *taskRun) bool { return a.acceptedAt == 0 || a.acceptedAt >= notBefore-crashWindow }
	var last time.Duration
	any := false
	for _, a := range h.runs {
		if inWindow(a) {
			any, last = true, max(last, a.acceptedAt)
		}
	}
	for _, a := range h.runs {
		a.suspected = !any || inWindow(a)
		a.recent = any && inWindow(a) && (a.acceptedAt == 0 || a.acceptedAt >= last-sameOrders)
		if a.recent {
			a.task.group.job.suspectedRuns++
		}
	}
	s.addRisk(h, 1)
}

// clearSuspectedRuns ends the suspicion of the runs on a host that did not crash.
func (s *Scheduler) clearSuspectedRuns(h *host) {
	if !h.crashed {
		return
	}
	s.addRisk(h, -1)
	h.crashed = false
	for _, a := range h.runs {
		a.endSuspicion()
	}
}

func (a *taskRun) endSuspicion() {
	if a.recent {
		a.task.group.job.suspectedRuns--
	}
	a.suspected, a.recent = false, false
}

// countCrashes counts the crash of a host for the tasks whose runs may be the cause.
func (s *Scheduler) countCrashes(h *host, runs []*taskRun) {
	if !h.crashed {
		return
	}
	h.crashed = false
	suspects := make(map[*job]bool)
	for _, a := range runs {
		if a.suspected {
			suspects[a.task.group.job] = true
		}
	}
	for _, a := range runs {
		if a.suspected {
			s.countCrash(a, len(suspects))
		}
	}
}

// countCrash counts a crash for the task of a run, or for its gang.
func (s *Scheduler) countCrash(a *taskRun, suspects int) {
	t, j := a.task.countedAt(), a.task.group.job
	if t.done || j.state.Final() || t.countsCrash(a.run) {
		return
	}
	t.crashes = append(t.crashes, cell.Crash{Run: a.run, Recent: a.recent, Suspects: suspects, Seen: a.acceptedAt != 0})
	t.trialRun = 0
	s.changed[j.sub.ID] = true
	s.logMessage(j.sub.ID, a.host.spec.ID, "The host crashed, and a task of the submission may be the cause.")
	if t.crashesHosts(a.alone) {
		s.finalize(j, cell.Failed, "hosts crashed under one of its tasks")
		return
	}
	j.suspected = j.suspected || t.suspectedCause()
}

// crashesHosts reports whether the crashes under a task show that it crashes its hosts.
// alone is set if it was alone on the last of them.
func (t *task) crashesHosts(alone bool) bool {
	n := len(t.crashes)
	return alone && t.seenCrashes() >= crashesToFail || n >= crashesToFailBlamed && t.blame() >= blameToFail || n >= maxCrashes
}

// countedAt returns the task at which crashes under a task are counted: for a gang its
// first one, as for failures.
func (t *task) countedAt() *task {
	if t.group.step.Gang {
		return t.group.tasks[0]
	}
	return t
}

// forgetTrial records that the outcome of a trial is known, or that it did not begin.
func (t *task) forgetTrial(run int64) {
	if c := t.countedAt(); c.trialRun == run {
		c.trialRun = 0
	}
}

func (t *task) countsCrash(run int64) bool {
	for _, c := range t.crashes {
		if c.Run == run {
			return true
		}
	}
	return false
}

// seenCrashes returns how many hosts crashed on which the task was certainly present.
func (t *task) seenCrashes() (n int) {
	for _, c := range t.crashes {
		if c.Seen {
			n++
		}
	}
	return n
}

// blame returns how much the crashes under the job's tasks speak against it.
func (j *job) blame() (sum float64) {
	for _, g := range j.groups {
		for _, t := range g.tasks {
			sum += t.blame()
		}
	}
	return sum
}

// blame returns how much the crashes under a task speak against it: each counts in
// equal parts for the submissions that may have caused it.
func (t *task) blame() (sum float64) {
	for _, c := range t.crashes {
		sum += 1 / float64(max(c.Suspects, 1))
	}
	return sum
}

// suspectedCause reports whether the crashes under the task make it a suspected cause.
func (t *task) suspectedCause() bool {
	if len(t.crashes) >= crashesUnlessRecent {
		return true
	}
	return len(t.crashes) > 0 && t.crashes[0].Recent
}

// clear ends the suspicion of the job of a task that has ended as done, or has run
// alone on its host for long enough.
func (s *Scheduler) clear(t *task, host string) {
	j, t := t.group.job, t.countedAt()
	if len(t.crashes) > 0 || t.trialRun != 0 {
		t.crashes, t.trialRun = nil, 0
		s.changed[j.sub.ID] = true
	}
	if j.suspected {
		j.suspected = false
		s.logMessage(j.sub.ID, host, "A suspected task did not crash its host.")
	}
}

// countUnknownTrials counts a crash for each trial that an earlier owner began and of
// which no run is known, now that all runs of earlier owners are known.
func (s *Scheduler) countUnknownTrials() {
	for _, g := range s.groups {
		for _, t := range g.tasks {
			if t.trialRun == 0 || t.trialRun > s.options.RunNumberBase || t.done || g.present > 0 || t.countsCrash(t.trialRun) {
				continue
			}
			t.crashes = append(t.crashes, cell.Crash{Run: t.trialRun, Recent: true, Suspects: 1})
			t.trialRun = 0
			s.changed[t.id.Submission] = true
			s.logMessage(t.id.Submission, "", "The outcome of a task that an earlier owner started alone is unknown; its host is assumed to have crashed.")
			if t.crashesHosts(false) {
				s.finalize(g.job, cell.Failed, "hosts crashed under one of its tasks")
			}
		}
	}
}
