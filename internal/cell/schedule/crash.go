package schedule

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/crash"
	"github.com/medlarpulley/medlarpulley/internal/cell/trial"
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
	runs := make([]*taskRun, 0, len(h.runs))
	starts := make([]crash.Start, 0, len(h.runs))
	for _, a := range h.runs {
		runs, starts = append(runs, a), append(starts, a.start())
	}
	if h.crashedSilently {
		setSuspicions(runs, crash.SuspectsOfSilent(starts, h.reportedAt))
		return
	}
	setSuspicions(runs, crash.Suspects(starts, notBefore))
	s.addRisk(h, 1)
}

func setSuspicions(runs []*taskRun, list []crash.Suspicion) {
	for i, a := range runs {
		a.suspected, a.recent = list[i].Suspected, list[i].Recent
		if a.recent {
			a.task.group.job.suspectedRuns++
		}
	}
}

// start returns what is known of the start of a run. When a run that an earlier owner ordered
// started is unknown; only that of a trial is known to be recent.
func (a *taskRun) start() crash.Start {
	return crash.Start{At: a.acceptedAt, Unknown: a.adopted && a.task.countedAt().trial.Run != a.run}
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
	if t.done || j.state.Final() || !t.evidence.Add(c) {
		return
	}
	t.detailsChanged()
	t.forgetTrial(t.trial.Run)
	s.changed[j.sub.ID] = true
	message := "The host crashed, and a task of the submission may be the cause."
	if c.Silent {
		message = "The host crashed while it did not answer, and a task of the submission may have started there."
	}
	s.logMessage(j.sub.ID, host, message)
	s.judge(t, alone)
}

// forgetOldCrashes forgets the crashes under earlier runs of the task of a run, or of its
// gang, if the run has lasted on a host that answers: its task crashes no hosts soon after
// its start. They would else add up over the life of a task. So would those of silent hosts
// under the run itself, which count only for what may have begun there.
func (s *Scheduler) forgetOldCrashes(a *taskRun) {
	t := a.task.countedAt()
	if t.evidence.Empty() || a.acceptedAt == 0 || a.host.reportedAt < a.acceptedAt+trial.LateDuration {
		return
	}
	if t.evidence.ForgetBefore(a.run) {
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
	if !t.evidence.Empty() || t.trial.Run != 0 {
		t.evidence.Clear()
		t.trial.End()
		t.detailsChanged()
		s.changed[j.sub.ID] = true
	}
	if j.suspected {
		j.suspected = false
		s.logMessage(j.sub.ID, host, "A suspected task did not crash its host.")
	}
}
