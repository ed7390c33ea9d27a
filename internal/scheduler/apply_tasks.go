package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/scheduler/hosthealth"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// setState sets the state of an attempt, and of its task if it is the newest.
func (s *Scheduler) setState(a *attempt, st TaskState) {
	a.state = st
	if a.current {
		a.task.state = st
	}
}

// lookup returns the attempt on the host, or nil. A task that was added without
// its earlier attempts and was not started since is bound to the host that a
// report names.
func (s *Scheduler) lookup(id work.AttemptID, hostID string) *attempt {
	h := s.hosts[hostID]
	if h == nil {
		return nil
	}
	if a := h.find(id); a != nil {
		return a
	}
	j := s.jobs[id.Task.Job]
	if j == nil {
		return nil
	}
	t := j.task(id.Task.Index)
	if t == nil || t.startedHere || t.otherAttempts > 0 || (t.state != TaskHeld && t.state != TaskQueued) {
		return nil
	}
	a := &attempt{id: id, host: h, size: j.spec.Size, state: TaskMayRun, started: s.now, answerLost: true, job: j}
	s.attach(a)
	s.bind(a)
	return a
}

func (s *Scheduler) taskStarted(id work.AttemptID, host string) {
	a := s.lookup(id, host)
	if a == nil || a.answered {
		return
	}
	a.answered = true
	if a.task != nil {
		a.task.mayHaveRun = true
	}
	if !a.ending() {
		a.started = s.now
		s.setState(a, TaskRunning)
	}
}

func (s *Scheduler) taskStartUnknown(id work.AttemptID, host string) {
	a := s.lookup(id, host)
	if a == nil || a.answered {
		return
	}
	a.answerLost = true
	if a.task != nil {
		a.task.mayHaveRun = true
	}
	if !a.ending() {
		s.setState(a, TaskMayRun)
	}
}

func (s *Scheduler) taskRefused(ev TaskRefused) {
	a := s.lookup(ev.Attempt, ev.Host)
	if a == nil || a.answered {
		return
	}
	s.detach(a)
	if !a.current {
		s.otherAttemptEnded(a)
		return
	}
	j, t, i := a.job, a.task, a.id.Task.Index
	t.currentAttempt = nil
	t.state = TaskQueued
	s.requeue(j, i, t, refusedRetryDelay)
	s.afterTaskChange(j)
}

// refusedRetryDelay is the delay after which a task that its host refused may
// start again, so that the host is not asked again at once.
const refusedRetryDelay = 200 * time.Millisecond

func (s *Scheduler) taskEnded(ev TaskEnded) {
	if a := s.lookup(ev.Attempt, ev.Host); a != nil {
		s.attemptEnded(a, ev)
	}
}

// attemptEnded removes an attempt from its host and decides what happens to its
// task.
func (s *Scheduler) attemptEnded(a *attempt, ev TaskEnded) {
	s.detach(a)
	s.recordHostHealth(a, ev)
	if a.job == nil {
		s.dropUnassigned(a)
		return
	}
	if !a.current {
		s.otherAttemptEnded(a)
		return
	}
	j, t, i := a.job, a.task, a.id.Task.Index
	t.currentAttempt, t.mayHaveRun = nil, true
	// The task counts as queued until the outcome is applied; delayed keeps it
	// out of the count of startable tasks meanwhile.
	t.state, t.delayed = TaskQueued, true
	s.applyOutcome(j, i, t, a, ev)
	s.afterTaskChange(j)
}

func (s *Scheduler) applyOutcome(j *job, i int32, t *task, a *attempt, ev TaskEnded) {
	switch {
	case ev.Outcome == work.Succeeded:
		j.backoff.Succeeded()
		s.learner.Observe(j.spec.Template, ev.Ran, ev.Peak)
		s.endTask(j, i, t, work.Succeeded, "")
	case ev.Outcome == work.Failed:
		s.attemptFailed(j, i, t, a, ev)
	case ev.Outcome == work.Infeasible:
		s.endTask(j, i, t, work.Infeasible, "the host reports that the task cannot run")
	case ev.Outcome == work.Lost && !j.spec.Idempotent:
		s.endTask(j, i, t, work.Lost, "the host is gone and did not report the end of the task")
	case !j.spec.Idempotent:
		s.endTask(j, i, t, work.Stopped, a.stopReason)
	default:
		s.requeue(j, i, t, 0)
	}
}

func (s *Scheduler) attemptFailed(j *job, i int32, t *task, a *attempt, ev TaskEnded) {
	if ev.Ran >= healthyRunThreshold {
		t.failures = 0
	}
	t.failures++
	wait := j.backoff.Failed(a.host.view.ID)
	switch {
	case !j.spec.Idempotent:
		s.endTask(j, i, t, work.Failed, "the attempt failed")
	case t.failures >= s.contract.Policy.MaxAttempts:
		s.endTask(j, i, t, work.Failed, fmt.Sprintf("%d of %d attempts failed", t.failures, s.contract.Policy.MaxAttempts))
	case j.closed:
		s.requeue(j, i, t, 0)
	default:
		s.retry(j, i, wait)
	}
}

// retry queues a failed task again after wait if the retry budget of its team
// allows it, and otherwise checks the budget again later.
func (s *Scheduler) retry(j *job, i int32, wait time.Duration) {
	t := j.task(i)
	if t.state != TaskQueued || !t.delayed {
		return
	}
	j.team.addRetryBudget(0, s.now)
	if j.team.retryBudget < 100 {
		t.delayed, t.queuedSince = true, s.now
		s.timers.add(timer{at: s.now + max(wait, retryRefillInterval), kind: timerRetry, job: j, index: i})
		return
	}
	j.team.retryBudget -= 100
	s.requeue(j, i, t, wait)
}

// requeue makes a queued task startable after a delay, or ends it if its job is
// closed.
func (s *Scheduler) requeue(j *job, i int32, t *task, delay time.Duration) {
	t.queuedSince = s.now
	t.delayed = true
	if j.waiting == 0 {
		j.lastProgress = s.now
	}
	if j.closed {
		s.endTask(j, i, t, s.closedOutcome(j, t), j.closeReason)
		return
	}
	if delay > 0 {
		s.timers.add(timer{at: s.now + delay, kind: timerDelayEnd, job: j, index: i})
		return
	}
	t.delayed = false
	s.addReady(j, i, t)
	s.enqueue(j)
}

func (s *Scheduler) endDelay(j *job, i int32) {
	if t := j.task(i); t.state == TaskQueued && t.delayed {
		t.delayed = false
		s.addReady(j, i, t)
		s.enqueue(j)
	}
}

// afterTaskChange restarts an incomplete gang and updates the job groups after
// a task of j changed.
func (s *Scheduler) afterTaskChange(j *job) {
	s.restartGang(j)
	s.enqueue(j)
	s.forgetIfDone(j)
}

// restartGang stops the other tasks of a gang once one of them has to start
// again, so that all start together. Non-idempotent tasks run to their end.
func (s *Scheduler) restartGang(j *job) {
	if j.spec.Kind != work.Gang || !j.spec.Idempotent || j.pending == 0 {
		return
	}
	open := false
	j.forEachTask(func(_ int32, t *task) { open = open || t.state == TaskQueued })
	if !open || j.closed || j.mayHaveUnadoptedAttempts {
		return
	}
	j.forEachTask(func(_ int32, t *task) {
		if t.currentAttempt != nil {
			s.stop(t.currentAttempt, StopCheckpoint, "another task of the gang has to start again")
		}
	})
}

// otherAttemptEnded removes an attempt that was not the newest of its task from
// the counts.
func (s *Scheduler) otherAttemptEnded(a *attempt) {
	if t := a.task; t != nil {
		t.otherAttempts--
		s.addReady(a.job, a.id.Task.Index, t)
	}
	if j := a.job; j != nil {
		j.unboundAttempts = slices.DeleteFunc(j.unboundAttempts, func(o *attempt) bool { return o == a })
		s.afterTaskChange(j)
	}
}

func (s *Scheduler) dropUnassigned(a *attempt) {
	list := slices.DeleteFunc(s.unassignedAttempts[a.id.Task.Job], func(o *attempt) bool { return o == a })
	if s.unassignedAttempts[a.id.Task.Job] = list; len(list) == 0 {
		delete(s.unassignedAttempts, a.id.Task.Job)
	}
}

// recordHostHealth counts a success or failure of the host. Failures of a job
// that failed on several hosts count against the job, not the host.
func (s *Scheduler) recordHostHealth(a *attempt, ev TaskEnded) {
	h := a.host
	switch ev.Outcome {
	case work.Succeeded:
		if s.onProbation(h) {
			s.endQuarantine(h)
		}
		s.health.Succeeded(h.view.ID)
	case work.Failed:
		if a.job != nil && a.job.backoff.JobAtFault() {
			return
		}
		p := s.contract.Policy
		s.health.Failed(h.view.ID, a.id.Task.Job, s.now, hosthealth.Policy{
			Failures: p.QuarantineFailures, MaxPercent: p.QuarantineMaxPercent, ProbationAfter: p.ProbationAfter,
		}, len(s.hosts))
		if until, out := s.health.Quarantined(h.view.ID); out {
			s.timers.add(timer{at: until, kind: timerQuarantine, host: h})
			s.timers.add(timer{at: until + probationTimeoutFactor*p.ProbationAfter, kind: timerQuarantine, host: h})
			s.refreshRoom(h)
		}
	}
}

// probationTimeoutFactor times ProbationAfter is how long a host stays on
// probation without a task that succeeds or fails until it counts as healthy.
// Otherwise a host that only large gangs fit would stay quarantined forever,
// since gangs do not use hosts on probation.
const probationTimeoutFactor = 10

// checkQuarantine is called when a host may enter probation, and again when its
// probation times out.
func (s *Scheduler) checkQuarantine(h *host) {
	until, out := s.health.Quarantined(h.view.ID)
	if out && s.hostList[h.index] == h && s.now >= until+probationTimeoutFactor*s.contract.Policy.ProbationAfter {
		s.endQuarantine(h)
	}
	s.refreshRoom(h)
}

// endQuarantine ends the quarantine of a host. Its free capacity may stay the
// same, but gangs may use it again.
func (s *Scheduler) endQuarantine(h *host) {
	s.health.Forget(h.view.ID)
	s.refreshRoom(h)
	s.hostGainedRoom(h)
}
