package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/scheduler/plan"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

func (s *Scheduler) jobAdded(ev JobAdded) {
	j := s.jobs[ev.Job.ID]
	if j == nil {
		j = s.newJob(ev)
	}
	j.mayHaveUnadoptedAttempts = j.mayHaveUnadoptedAttempts || (ev.Attempts > 0 && s.unknownHosts > 0 && !ev.NoUnadoptedAttempts)
	if (j.mayHaveUnadoptedAttempts || len(ev.Intended) > 0) && !j.inMaybeRunning {
		j.inMaybeRunning = true
		s.maybeRunningJobs = append(s.maybeRunningJobs, j)
	}
	first := ev.First
	for i := ev.First; i <= ev.First+ev.Count; i++ {
		last := i == ev.First+ev.Count
		t := (*task)(nil)
		if !last {
			t = j.task(i)
		}
		if t == nil && !last {
			continue
		}
		if i > first {
			j.ranges = append(j.ranges, taskRange{first: first, tasks: make([]task, i-first)})
			p := &j.ranges[len(j.ranges)-1]
			for n := range p.tasks {
				s.initTask(j, p.first+int32(n), &p.tasks[n], ev)
			}
		}
		first = i + 1
		if t != nil && t.state == TaskMoved {
			s.initTask(j, i, t, ev)
		}
	}
	unbound := j.unboundAttempts
	j.unboundAttempts = nil
	for _, a := range unbound {
		s.bind(a)
	}
	for _, a := range s.unassignedAttempts[j.spec.ID] {
		s.assignAttempt(a, j)
	}
	delete(s.unassignedAttempts, j.spec.ID)
	s.afterTaskChange(j)
}

func (s *Scheduler) newJob(ev JobAdded) *job {
	j := &job{spec: ev.Job, accepted: s.now - max(ev.Age, 0), team: s.team(ev.Job.Team), index: len(s.jobList)}
	j.spanning, j.offset = ev.Spanning, ev.Offset
	j.lastProgress = j.accepted
	j.orderTime = j.accepted
	if d := ev.Job.Deadline; d > 0 {
		expected, _ := s.learner.Runtime(ev.Job.Template, ev.Job.Runtime)
		j.orderTime = min(j.orderTime, j.accepted+d-expected-s.contract.Policy.MaxWait)
	}
	if ev.Job.Kind == work.Service {
		j.placed = &plan.DomainCounts{}
	}
	s.applyContractToJob(j)
	s.jobs[ev.Job.ID] = j
	s.jobList = append(s.jobList, j)
	if j.spanning {
		s.spanningGangs = append(s.spanningGangs, j)
	}
	s.uncheckedJobs = append(s.uncheckedJobs, j)
	s.timers.add(timer{at: j.accepted + s.options.OfferDelay, kind: timerOffer, job: j})
	return j
}

// applyContractToJob sets the priority and cost of j from the contract.
func (s *Scheduler) applyContractToJob(j *job) {
	j.priority = s.contract.Queues[j.spec.Queue].Priority
	j.cost = 0
	if j.team.limit != nil {
		j.cost = j.team.limit.cost(j.spec.Size)
	}
}

func (s *Scheduler) initTask(j *job, i int32, t *task, ev JobAdded) {
	listed := t.inReady
	*t = task{queuedSince: j.accepted, attempts: max(t.attempts, ev.Attempts), otherAttempts: t.otherAttempts, inReady: listed}
	if o, ok := ev.Ended[i]; ok && o != work.Pending {
		t.state, t.outcome = TaskDone, o
		return
	}
	j.pending++
	if n, ok := ev.Intended[i]; ok && !j.spec.Idempotent {
		t.state, t.attempts, t.mayHaveRun = TaskHeld, max(t.attempts, n), true
		expiry := s.now
		if !ev.NoUnadoptedAttempts {
			expiry += heldTimeout(j.spec.Lease)
		}
		s.timers.add(timer{at: expiry, kind: timerHeldExpiry, job: j, index: i})
		return
	}
	if j.closed {
		s.endTask(j, i, t, j.closeOutcome, j.closeReason)
		return
	}
	s.addReady(j, i, t)
}

// addReady lists a queued task as startable.
func (s *Scheduler) addReady(j *job, i int32, t *task) {
	if !t.startable() {
		return
	}
	j.addStartable(1)
	if !t.inReady {
		t.inReady = true
		j.ready = append(j.ready, i)
	}
}

// assignAttempt assigns an attempt of a job that was unknown until now to that
// job.
func (s *Scheduler) assignAttempt(a *attempt, j *job) {
	a.job = j
	j.live++
	s.charge(a)
	if j.placed != nil {
		j.placed.Add(&a.host.view, 1)
	}
	s.bind(a)
}

// expireHeld ends a held task once no lease of it can be valid any more.
func (s *Scheduler) expireHeld(j *job, i int32) {
	if t := j.task(i); t != nil && t.state == TaskHeld {
		s.endTask(j, i, t, work.Lost, "may have been started before, but no host reported it")
		s.enqueue(j)
		s.forgetIfDone(j)
	}
}

func (s *Scheduler) jobCancelled(id work.JobID) {
	if j := s.jobs[id]; j != nil {
		s.close(j, work.Cancelled, "job cancelled")
	}
}

// close ends the queued tasks of j, a bounded number in each Decide. Running
// tasks are stopped if the job was cancelled.
func (s *Scheduler) close(j *job, o work.Outcome, reason string) {
	if j.closed && (j.closeOutcome == o || j.closeOutcome == work.Cancelled) {
		return
	}
	s.dropHold(j)
	if j.mayHaveUnadoptedAttempts {
		// Which of the queued tasks ran is only known once all hosts are
		// adopted.
		j.forEachTask(func(i int32, t *task) {
			if t.currentAttempt != nil {
				s.stop(t.currentAttempt, StopKill, reason)
			}
		})
	} else if !j.closed || j.closeCursor < 0 {
		s.closingJobs = append(s.closingJobs, j)
	}
	if !j.closed {
		j.addDemand(-int64(j.waiting))
	}
	j.closed, j.closeOutcome, j.closeReason, j.closeCursor = true, o, reason, 0
	if j.group != nil {
		s.relistGroup(j.group)
	}
}

// endClosedJobs ends tasks of closed jobs until the number of actions reaches
// the bound.
func (s *Scheduler) endClosedJobs(bound int) {
	for len(s.closingJobs) > 0 && len(s.actions) < bound {
		j := s.closingJobs[0]
		if !s.endTasksOf(j, bound) {
			return
		}
		j.closeCursor = -1
		s.closingJobs[0] = nil
		s.closingJobs = s.closingJobs[1:]
		s.forgetIfDone(j)
	}
}

// endTasksOf continues to end the tasks of j and reports whether all of them
// were handled.
func (s *Scheduler) endTasksOf(j *job, bound int) bool {
	at := int32(0)
	for k := range j.ranges {
		p := &j.ranges[k]
		for n := max(j.closeCursor-at, 0); int(n) < len(p.tasks); n++ {
			if len(s.actions) >= bound {
				j.closeCursor = at + n
				return false
			}
			s.closeTask(j, p.first+n, &p.tasks[n])
		}
		at += int32(len(p.tasks))
	}
	return true
}

func (s *Scheduler) closeTask(j *job, i int32, t *task) {
	switch {
	case t.state == TaskQueued:
		s.endTask(j, i, t, s.closedOutcome(j, t), j.closeReason)
	case t.currentAttempt != nil && j.closeOutcome == work.Cancelled:
		s.stop(t.currentAttempt, StopKill, j.closeReason)
	}
}

func (s *Scheduler) closedOutcome(j *job, t *task) work.Outcome {
	if j.closeOutcome == work.Cancelled && t.mayHaveRun {
		return work.Stopped
	}
	return j.closeOutcome
}

// endTask sets the final outcome of a task.
func (s *Scheduler) endTask(j *job, i int32, t *task, o work.Outcome, reason string) {
	if t.startable() {
		j.addStartable(-1)
	}
	t.state, t.outcome, t.currentAttempt = TaskDone, o, nil
	j.pending--
	s.emit(EndTask{Task: work.TaskID{Job: j.spec.ID, Index: i}, Outcome: o, Reason: reason})
}

// emit adds an action to the current result of Decide, or to the next one.
func (s *Scheduler) emit(a Action) {
	if s.deciding {
		s.actions = append(s.actions, a)
	} else {
		s.pendingActions = append(s.pendingActions, a)
	}
	s.decisions.add(s.now, a)
}

// forgetIfDone removes a job that has no open tasks, no attempts and no tasks
// left to close.
func (s *Scheduler) forgetIfDone(j *job) {
	if j.pending > 0 || j.live > 0 || (j.closed && j.closeCursor >= 0) || s.jobs[j.spec.ID] != j {
		return
	}
	delete(s.jobs, j.spec.ID)
	if j.spanning {
		s.spanningGangs = slices.DeleteFunc(s.spanningGangs, func(o *job) bool { return o == j })
	}
	last := s.jobList[len(s.jobList)-1]
	s.jobList[j.index], last.index = last, j.index
	s.jobList[len(s.jobList)-1] = nil
	s.jobList = s.jobList[:len(s.jobList)-1]
	j.closed = true
}

func (s *Scheduler) tasksMoved(ev TasksMoved) {
	j := s.jobs[ev.Job]
	if j == nil {
		return
	}
	for i := ev.First; i < ev.First+ev.Count; i++ {
		if t := j.task(i); t != nil && t.state == TaskQueued {
			if t.startable() {
				j.addStartable(-1)
			}
			t.state = TaskMoved
			j.pending--
		}
	}
	if j.group != nil {
		s.relistGroup(j.group)
	}
	s.enqueue(j)
	s.forgetIfDone(j)
}

// sortedKeys returns the keys in order, so that results do not depend on the
// order of a map.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// queuedFor returns how long a task has been queued.
func (s *Scheduler) queuedFor(t *task) time.Duration { return max(s.now-t.queuedSince, 0) }
