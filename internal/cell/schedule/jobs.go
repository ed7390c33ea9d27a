package schedule

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/crash"
	"github.com/medlarpulley/medlarpulley/internal/cell/trial"
)

// maxSubmissionAge limits the age of a submission on arrival, which depends on
// the clock of another machine.
const maxSubmissionAge = 60 * time.Second

// Add adds an accepted submission. unreconciled is set if runs of an earlier
// owner may exist that are not known yet.
func (s *Scheduler) Add(sub *cell.Submission, p cell.Progress, unreconciled bool, now, wall time.Duration) {
	if s.jobs[sub.ID] != nil || sub.Finished || p.State.Final() {
		return
	}
	s.now, s.wallClock = now, wall
	q, ok := s.desired.QueueOf(&sub.Queue)
	if !ok {
		q = sub.Queue
	}
	s.lastArrival++
	j := &job{
		sub: sub, queue: q, team: s.team(sub.Team), steps: len(sub.Steps), stepOffsets: sub.StepOffsets(), state: p.State,
		unreconciled: unreconciled && !s.reconciled, beforeClaim: unreconciled, arrivalNumber: s.lastArrival, urgent: q.Priority == 0,
	}
	j.arrived = now - min(max(wall-sub.Received, 0), maxSubmissionAge)
	s.newestArrival = max(s.newestArrival, j.arrived)
	j.due = j.arrived + s.objective(j)
	j.overRate = !j.team.takeCredit(j.arrived)
	j.restoreDone(p)
	if p.Divided {
		j.parts = restoreProgressParts(p)
	}
	s.jobs[sub.ID] = j
	if sub.Timed() {
		s.timedJobs = append(s.timedJobs, j)
	}
	if p.HasBegun() {
		j.stored = p
	}
	switch {
	case p.HasBegun():
		s.createStarted(j)
	case unreconciled && !s.reconciled:
		// Submissions that have begun come first; they may be loaded later.
	case sub.Timed():
		s.createDueOccurrences(j)
	default:
		s.createWithRoom(j, 0)
	}
	if !sub.Timed() && len(j.groups) == 0 {
		s.deferred = append(s.deferred, j)
	}
	s.mergeNewGroups()
	s.finishIfDone(j)
}

// newGroup creates a group from the stored progress of its job.
func (s *Scheduler) newGroup(j *job, occurrence, number int) *group {
	step := &j.sub.Steps[number]
	g := &group{
		id: cell.GroupID{Submission: j.sub.ID, Occurrence: occurrence, Step: number}, job: j, step: step, size: step.Reserved(),
		firstTask: j.firstTask(occurrence, number),
	}
	var stored cell.GroupProgress
	if len(j.stored.Groups) > 0 {
		stored = j.stored.Groups[g.id.String()]
	}
	g.tasks = make([]*task, 0, step.Count)
	for i := range step.Count {
		t := &task{
			id:    cell.TaskID{Submission: j.sub.ID, Occurrence: occurrence, Step: number, Index: i},
			group: g, done: j.doneTasks.Has(g.firstTask + i), failures: stored.Failures[i], evidence: crash.Evidence{Confirmed: stored.Crashes[i]},
			trial: trial.Record{Run: stored.Trials[i], Hosts: stored.TrialHosts[i]}, checkpoint: stored.Checkpoints[i], lastRun: s.options.RunNumberBase, waitingSince: s.now,
		}
		s.restoreUnconfirmed(t, stored.UnconfirmedCrashes[i])
		if !t.done {
			j.suspected = j.suspected || t.evidence.Suspects()
			g.left++
			g.waiting++
		}
		if step.Gang && i > 0 {
			t.checkpoint = "" // that of a gang is kept at its first task
		}
		g.tasks = append(g.tasks, t)
	}
	return g
}

// markReadyGroups marks the groups of a job that can start now as ready.
func (s *Scheduler) markReadyGroups(j *job) { s.markReady(j.groups) }

// markReady marks those of the groups that can start now as ready.
func (s *Scheduler) markReady(groups []*group) {
	for _, g := range groups {
		if !g.ready && g.left > 0 && s.isReady(g) {
			g.ready, g.readyAt = true, s.now
			for _, t := range g.tasks {
				t.waitingSince = s.now
			}
		}
	}
}

func (s *Scheduler) isReady(g *group) bool {
	j := g.job
	if j.sub.Timed() && s.wallClock < j.sub.Due(g.id.Occurrence) {
		return false
	}
	for _, a := range g.step.After {
		if !j.doneGroups.Has(g.id.Occurrence*j.steps + a) {
			return false
		}
	}
	return true
}

// Cancel stops a submission.
func (s *Scheduler) Cancel(id string, now time.Duration) {
	s.now = now
	if j := s.jobs[id]; j != nil {
		s.finalize(j, cell.Cancelled, "cancelled")
	}
}

// Fail gives a submission up for a reason that lies outside of its tasks.
func (s *Scheduler) Fail(id, reason string, now time.Duration) {
	s.now = now
	if j := s.jobs[id]; j != nil {
		s.finalize(j, cell.Failed, reason)
	}
}

// finalize gives a job a final state and orders its runs to stop.
func (s *Scheduler) finalize(j *job, state cell.State, reason string) {
	if j.state.Final() {
		return
	}
	j.state = state
	s.changed[j.sub.ID] = true
	s.logMessage(j.sub.ID, "", "The submission is "+state.String()+": "+reason+".")
	for _, g := range j.groups {
		g.ready = false
		if state != cell.Completed || !g.step.Gang {
			s.stopGroup(g, reason) // the members of a completed gang end by themselves
		}
	}
	s.requestCleanupIfFinished(j)
}

// requestCleanupIfFinished requests the removal of a job's groups once the job
// has finished and has no runs left.
func (s *Scheduler) requestCleanupIfFinished(j *job) {
	if !j.state.Final() || j.hasRuns() {
		return
	}
	// The job itself stays until its final progress is stored; its groups are
	// removed with the next decision.
	s.cleanupNeeded = true
}

// hasRuns reports whether any run of the job may be present.
func (j *job) hasRuns() bool { return j.present > 0 }

// RemoveSubmission removes a finished submission, once its progress is stored. It
// reports false if the submission is unknown, not finished or may still have runs.
func (s *Scheduler) RemoveSubmission(id string) bool {
	j := s.jobs[id]
	if j == nil || !j.state.Final() || j.hasRuns() {
		return false
	}
	delete(s.jobs, id)
	return true
}

func (s *Scheduler) stopGroup(g *group, reason string) {
	if g.stopsOrdered || g.present == 0 {
		return
	}
	g.stopsOrdered = true
	for _, t := range g.tasks {
		for _, a := range t.runs {
			s.stop(a, reason)
		}
	}
}

// stop orders a run to stop. The run counts until it is known to be gone.
func (s *Scheduler) stop(a *taskRun, reason string) {
	if a.phase == phaseStopping {
		return
	}
	s.observeStopped(a)
	s.orderStop(a, reason)
}

// orderStop orders a run to stop, whether or not it has been ordered before.
func (s *Scheduler) orderStop(a *taskRun, reason string) {
	a.phase, a.stopReason, a.stopAcceptedAt = phaseStopping, reason, 0
	s.plan.Stops = append(s.plan.Stops, Stop{Task: a.task.id, Run: a.run, Host: a.host.spec.ID, Reason: reason})
}

// finishIfDone completes a job if all its tasks are done.
func (s *Scheduler) finishIfDone(j *job) {
	if j.left == 0 && !j.state.Final() {
		s.finalize(j, cell.Completed, "all tasks are done")
	}
}

// Submission returns a submission by ID, or nil if it is unknown or has been
// removed.
func (s *Scheduler) Submission(id string) *cell.Submission {
	if j := s.jobs[id]; j != nil {
		return j.sub
	}
	return nil
}

// TasksLeft returns the number of tasks of a submission that are not done; zero if the
// submission is unknown.
func (s *Scheduler) TasksLeft(id string) int {
	if j := s.jobs[id]; j != nil {
		return j.left
	}
	return 0
}
