package schedule

import (
	"slices"
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
	// many in any case, crashes of hosts that were silent before included.
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

// MarkSilent records that a host left a call without an answer. If its process is gone
// when calls reach it again, nobody knows when it crashed and what ran there then.
func (s *Scheduler) MarkSilent(id string) {
	if h := s.hosts[id]; h != nil {
		h.silent = true
	}
}

// suspectRuns marks the runs that may be the cause of a crash.
func (s *Scheduler) suspectRuns(h *host, notBefore time.Duration) {
	h.crashed, h.crashedSilently = true, h.silent || !h.runsKnown
	if h.crashedSilently {
		for _, a := range h.runs {
			a.suspected = a.mayHaveStartedSince(h.reportedAt - crashWindow)
		}
		return
	}
	inWindow := func(a *taskRun) bool { return a.mayHaveStartedSince(notBefore - crashWindow) }
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

// mayHaveStartedSince reports whether the run may have started after a time. When a run that
// an earlier owner ordered started is unknown, which says nothing against it; only that of a
// trial is known to be recent.
func (a *taskRun) mayHaveStartedSince(t time.Duration) bool {
	if a.adopted && a.task.countedAt().trialRun != a.run {
		return false
	}
	return a.acceptedAt == 0 || a.acceptedAt >= t
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

// countCrashes counts the crash of a host for the tasks whose runs may be the cause. It
// is confirmed once the host is known to have restarted.
func (s *Scheduler) countCrashes(h *host, runs []*taskRun, confirmed bool) {
	h.restarted = h.restarted || confirmed
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
		s.forgetOldCrashes(a)
		switch {
		case !a.suspected, h.trial != nil && h.trial.task.group != a.task.group: // beside a suspect, others are not blamed
		default:
			c := a.crash(len(suspects))
			alone := a.alone && !c.Silent && c.Suspects == 1
			if confirmed {
				s.countCrash(a.task.countedAt(), h.spec.ID, c, alone)
			} else {
				s.recordUnconfirmed(a.task.countedAt(), cell.UnconfirmedCrash{Crash: c, Host: h.instance(), Alone: alone})
			}
		}
	}
}

// crash returns the crash of the host of a run that may be the cause, as are those of some
// submissions.
func (a *taskRun) crash(suspects int) cell.Crash {
	c := cell.Crash{Run: a.run, Silent: true}
	if !a.host.crashedSilently {
		c = cell.Crash{Run: a.run, Recent: a.recent, Suspects: suspects, Seen: a.acceptedAt != 0}
	}
	if a.task.group.step.Gang {
		c.Members = []int{a.task.id.Index}
	}
	return c
}

// countCrash counts a crash of a host for a task, or for its gang. alone is set if nothing
// else can have caused it.
func (s *Scheduler) countCrash(t *task, host string, c cell.Crash, alone bool) {
	j := t.group.job
	if t.done || j.state.Final() || !t.addCrash(c) {
		return
	}
	t.forgetTrial(t.trialRun)
	s.changed[j.sub.ID] = true
	message := "The host crashed, and a task of the submission may be the cause."
	if c.Silent {
		message = "The host crashed while it did not answer, and a task of the submission may have started there."
	}
	s.logMessage(j.sub.ID, host, message)
	s.judge(t, alone)
}

// addCrash adds a crash under a run of a task, or of its gang, and reports whether that
// says something new. Of a gang that lost several hosts, one crash counts: the one that
// says most.
func (t *task) addCrash(c cell.Crash) bool {
	i := slices.IndexFunc(t.crashes, func(o cell.Crash) bool { return o.Run == c.Run })
	if i < 0 {
		t.crashes = append(t.crashes, c)
		t.detailsChanged()
		return true
	}
	o := t.crashes[i]
	members := joinMembers(o.Members, c.Members)
	if (c.Silent || !o.Silent) && len(members) == len(o.Members) {
		return false
	}
	if !o.Silent {
		c = o
	}
	c.Members = members
	t.crashes = append(slices.Delete(slices.Clone(t.crashes), i, i+1), c)
	t.detailsChanged()
	return true
}

// joinMembers returns the indexes of gang members in either list.
func joinMembers(a, b []int) []int {
	out := slices.Clone(a)
	for _, i := range b {
		if !slices.Contains(out, i) {
			out = append(out, i)
		}
	}
	return out
}

// forgetOldCrashes forgets the crashes under earlier runs of the task of a run, or of its
// gang, if the run has lasted on a host that answers: its task crashes no hosts soon after
// its start. They would else add up over the life of a task. So would those of silent hosts
// under the run itself, which count only for what may have begun there.
func (s *Scheduler) forgetOldCrashes(a *taskRun) {
	t := a.task.countedAt()
	n := len(t.crashes) + len(t.unconfirmed)
	if n == 0 || a.acceptedAt == 0 || a.host.reportedAt < a.acceptedAt+lateTrialDuration {
		return
	}
	old := func(c cell.Crash) bool { return c.Silent || c.Run < a.run }
	// A stored copy may be read meanwhile.
	t.crashes = slices.DeleteFunc(slices.Clone(t.crashes), old)
	t.unconfirmed = slices.DeleteFunc(t.unconfirmed, func(c unconfirmedCrash) bool { return old(c.Crash) })
	if len(t.crashes)+len(t.unconfirmed) < n {
		t.detailsChanged()
		s.changed[t.id.Submission] = true
		s.endUnfoundedSuspicion(t.group.job)
	}
}

// countedAt returns the task at which crashes under a task are counted: for a gang its
// first one, as for failures.
func (t *task) countedAt() *task {
	if t.group.step.Gang {
		return t.group.tasks[0]
	}
	return t
}

// clear ends the suspicion of the job of a task that has ended as done, or has run
// alone on its host for long enough.
func (s *Scheduler) clear(t *task, host string) {
	j, t := t.group.job, t.countedAt()
	if len(t.crashes) > 0 || len(t.unconfirmed) > 0 || t.trialRun != 0 {
		t.crashes, t.unconfirmed, t.trialRun, t.trialHosts = nil, nil, 0, nil
		t.detailsChanged()
		s.changed[j.sub.ID] = true
	}
	if j.suspected {
		j.suspected = false
		s.logMessage(j.sub.ID, host, "A suspected task did not crash its host.")
	}
}
