package schedule

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/trial"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

const (
	// soonEmpty is the time within which a host has to be empty to be kept free for work
	// under trial. Hosts are empty when they come back after a crash.
	soonEmpty = 300 * time.Millisecond
	// maxTrialDrain is how long runs on a host may last until it has room for a suspect.
	maxTrialDrain = 2 * time.Second
)

// endTrials ends the trials of runs that are gone or cleared.
func (s *Scheduler) endTrials() {
	s.trialCapacity = trial.Capacity{}
	for _, h := range s.sortedHosts {
		s.updateTrial(h)
		if h.crashed && h.quarantinedFor == nil && h.hasRecentRuns() {
			s.trialCapacity.Crashed++
		}
		if !h.usable(s.now) {
			continue
		}
		unused := 1.0
		if h.quarantinedFor == nil {
			unused = h.unusedShare()
		}
		s.trialCapacity.AddUsable(h.runsOnlyTrials(), unused)
	}
}

// hasRecentRuns reports whether a run had started on the host right before it crashed.
func (h *host) hasRecentRuns() bool {
	for _, a := range h.runs {
		if a.recent {
			return true
		}
	}
	return false
}

// unusedShare returns the share of the host's capacity that no run uses, in the dimension
// that is used most.
func (h *host) unusedShare() float64 {
	share := 1.0
	free := h.free()
	for i := range resource.Dimensions {
		if capacity := h.spec.Capacity.At(i); capacity > 0 {
			share = min(share, float64(free.At(i))/float64(capacity))
		}
	}
	return max(share, 0)
}

// updateTrial ends the trial on a host if its run is gone or its task is cleared, and
// gives the hosts of a group back to other work if it does not use them.
func (s *Scheduler) updateTrial(h *host) {
	g := h.quarantinedFor
	if g == nil {
		return
	}
	switch trial.Next(quarantine{s, h, g}, s.now) {
	case trial.End:
		h.trial, h.quarantinedFor = nil, nil
	case trial.Clear:
		s.clear(h.trial.task, h.spec.ID)
		h.trial, h.quarantinedFor = nil, nil
	case trial.Release:
		h.quarantinedFor = nil
	case trial.Extend:
		h.useBy = max(h.useBy, s.now+trial.MaxIdle)
	case trial.GiveBack:
		s.giveBack(g)
	}
}

// giveBack gives the hosts that are kept free for a group back to other work. The group
// goes to the end of the line, and is given other hosts next if there are any.
func (s *Scheduler) giveBack(g *group) {
	if g.givenBack == nil {
		g.givenBack = make(map[*host]bool)
	}
	for _, h := range s.sortedHosts {
		if h.quarantinedFor == g && h.trial == nil {
			h.quarantinedFor = nil
			g.givenBack[h] = true
		}
	}
	g.trialWait.Requeue(s.now)
}

// readyForTrial reports whether a waiting group of a job under trial may start one
// task, or its gang: the job's other runs have to have been present for long enough. Those
// of a long-running step do not end, and each has a host of its own, so that for the next
// of them it is enough that they have survived their start.
func (s *Scheduler) readyForTrial(g *group) bool {
	if g.job.suspectedRuns > 0 || s.awaitsConfirmation(g) {
		return false
	}
	if g.step.Gang {
		return g.run != 0 || g.present == 0
	}
	if g.step.LongRunning {
		return s.runsSurvivedStart(g.job)
	}
	return s.runsSurvivedTrial(g.job)
}

// survival caches the results of runsSurvived in one decision, while no run of the job
// begins or ends.
type survival struct {
	decision     int64
	start, trial *bool
}

// runsSurvivedStart and runsSurvivedTrial report whether all runs of the job have survived
// their start, or a trial. They examine all groups of the job, unless there are no runs, so
// that this is done once in a decision.
func (s *Scheduler) runsSurvivedStart(j *job) bool {
	return s.cachedSurvival(j, &j.survival.start, (*taskRun).survivedStart)
}

func (s *Scheduler) runsSurvivedTrial(j *job) bool {
	return s.cachedSurvival(j, &j.survival.trial, (*taskRun).survivedTrial)
}

func (s *Scheduler) cachedSurvival(j *job, result **bool, survived func(*taskRun, time.Duration) bool) bool {
	if j.survival.decision != s.decision {
		j.survival = survival{decision: s.decision}
	}
	if *result == nil {
		ok := s.runsSurvived(j, survived)
		*result = &ok
	}
	return **result
}

func (s *Scheduler) runsSurvived(j *job, survived func(*taskRun, time.Duration) bool) bool {
	if !j.hasRuns() {
		return true
	}
	for _, g := range s.examine(j) {
		if g.present > 0 && !g.runsSurvived(s.now, survived) {
			return false
		}
	}
	return true
}

// runsSurvived reports whether all runs of the group have survived what the function tells.
func (g *group) runsSurvived(now time.Duration, survived func(*taskRun, time.Duration) bool) bool {
	for _, t := range g.tasks {
		for _, a := range t.runs {
			if !survived(a, now) {
				return false
			}
		}
	}
	return true
}

// tried reports whether nothing runs on the host but tasks that were tried there and
// that do not crash their hosts at their start.
func (h *host) tried(now time.Duration) bool {
	for _, a := range h.runs {
		if !a.alone || !a.survivedTrial(now) {
			return false
		}
	}
	return true
}

// runsOnlyTrials reports whether nothing runs on the host but the tasks for which it is
// kept free.
func (h *host) runsOnlyTrials() bool {
	for _, a := range h.runs {
		if h.quarantinedFor != a.task.group {
			return false
		}
	}
	return true
}

// freeForTrial reports whether a task of a group under trial would be the only possible
// cause if the host crashed right after its start.
func (s *Scheduler) freeForTrial(h *host, g *group) bool {
	if h.trial != nil || len(h.runs) == 0 || h.tried(s.now) && !g.crashesLate() {
		return true
	}
	return s.mayShareHosts(g) && h.settled(s.now)
}

// settled reports whether all runs on the host started too long ago to be the cause if
// it crashed now.
func (h *host) settled(now time.Duration) bool {
	for _, a := range h.runs {
		if !a.presence().Settled(now) {
			return false
		}
	}
	return true
}

// waitsLong reports whether a suspect has waited for its trial for long, or lacks some
// members of a gang that has been started.
func (g *group) waitsLong(now time.Duration) bool {
	return g.run != 0 || g.trialWait.Long(now)
}

// mayShareHosts reports whether a group may be tried beside other runs, which would be
// lost if it crashed their host.
func (s *Scheduler) mayShareHosts(g *group) bool {
	return g.job.suspected && g.waitsLong(s.now) && !s.risk(g.job).TrialsCrash(s.now)
}

// survivedTrial reports whether a run has been present on its host for so long that its
// task does not crash hosts.
func (a *taskRun) survivedTrial(now time.Duration) bool {
	return a.presence().SurvivedTrial(a.task.group.crashesLate(), now)
}

// survivedStart reports whether a run has been present on its host for so long that its
// task does not crash hosts at its start.
func (a *taskRun) survivedStart(now time.Duration) bool { return a.presence().SurvivedStart(now) }

// presence returns what is known of the presence of a run on its host.
func (a *taskRun) presence() trial.Presence {
	return trial.Presence{
		Running: a.phase == phaseRunning && !a.host.crashed, Since: a.acceptedAt,
		AnsweredAt: a.host.reportedAt, InTouch: a.host.reachable && !a.host.silent,
	}
}

// clearsTask reports whether a run under trial shows that its task does not crash hosts. A
// gang has shown it once all of its members have been present for long enough.
func (a *taskRun) clearsTask(now time.Duration) bool {
	if a.task.group.step.Gang {
		return a.task.group.runsSurvived(now, (*taskRun).survivedTrial)
	}
	return a.survivedTrial(now)
}

// crashesLate reports whether a task of the group may crash its host long after its
// start.
func (g *group) crashesLate() bool {
	for _, t := range g.tasks {
		if t.evidence.Late() {
			return true
		}
	}
	return false
}
