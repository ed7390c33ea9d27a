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

// lookup returns the attempt on the host. A task that was added without its
// earlier attempts and was not started since is bound to the host that a report names.
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
	if t == nil || t.own || t.extra > 0 || (t.state != TaskHeld && t.state != TaskQueued) {
		return nil
	}
	a := &attempt{id: id, host: h, size: j.spec.Size, state: TaskMayRun, started: s.now, lost: true, job: j}
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
		a.task.ran = true
	}
	if !a.ending() {
		a.started = s.now
		s.setState(a, TaskRunning)
	}
}

func (s *Scheduler) taskUnknown(id work.AttemptID, host string) {
	a := s.lookup(id, host)
	if a == nil || a.answered {
		return
	}
	a.lost = true
	if a.task != nil {
		a.task.ran = true
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
		s.extraEnded(a)
		return
	}
	j, t, i := a.job, a.task, a.id.Task.Index
	t.run = nil
	t.state = TaskQueued
	s.requeue(j, i, t, refusedDelay)
	s.after(j)
}

// refusedDelay keeps a host that refuses from being asked again at once.
const refusedDelay = 200 * time.Millisecond

func (s *Scheduler) taskEnded(ev TaskEnded) {
	if a := s.lookup(ev.Attempt, ev.Host); a != nil {
		s.ended(a, ev)
	}
}

// ended takes an attempt off its host and decides what becomes of its task.
func (s *Scheduler) ended(a *attempt, ev TaskEnded) {
	s.detach(a)
	s.judgeHost(a, ev)
	if a.job == nil {
		s.dropForeign(a)
		return
	}
	if !a.current {
		s.extraEnded(a)
		return
	}
	j, t, i := a.job, a.task, a.id.Task.Index
	t.run, t.ran = nil, true
	// The task is queued until the outcome says otherwise; delayed keeps it
	// out of the count of startable tasks meanwhile.
	t.state, t.delayed = TaskQueued, true
	s.settle(j, i, t, a, ev)
	s.after(j)
}

func (s *Scheduler) settle(j *job, i int32, t *task, a *attempt, ev TaskEnded) {
	switch {
	case ev.Outcome == work.Succeeded:
		j.backoff.Succeeded()
		s.learner.Observe(j.spec.Template, ev.Ran, ev.Peak)
		s.endTask(j, i, t, work.Succeeded, "")
	case ev.Outcome == work.Failed:
		s.failed(j, i, t, a, ev)
	case ev.Outcome == work.Infeasible:
		s.endTask(j, i, t, work.Infeasible, "the host reports that the task cannot run")
	case ev.Outcome == work.Lost && !j.spec.Idempotent:
		s.endTask(j, i, t, work.Lost, "the host is gone and reported no end")
	case !j.spec.Idempotent:
		s.endTask(j, i, t, work.Stopped, a.reason)
	default:
		s.requeue(j, i, t, 0)
	}
}

func (s *Scheduler) failed(j *job, i int32, t *task, a *attempt, ev TaskEnded) {
	if ev.Ran >= healthyRun {
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

// retry queues a failed task again after wait if the team's budget allows it,
// else tries again later.
func (s *Scheduler) retry(j *job, i int32, wait time.Duration) {
	t := j.task(i)
	if t.state != TaskQueued || !t.delayed {
		return
	}
	j.team.earn(0, s.now)
	if j.team.retries < 100 {
		t.delayed, t.since = true, s.now
		s.timers.add(timer{at: s.now + max(wait, retryTrickle), kind: timerRetry, job: j, index: i})
		return
	}
	j.team.retries -= 100
	s.requeue(j, i, t, wait)
}

// requeue makes a queued task startable after a delay, or ends it if its job is closed.
func (s *Scheduler) requeue(j *job, i int32, t *task, delay time.Duration) {
	t.since = s.now
	t.delayed = true
	if j.waiting == 0 {
		j.progress = s.now
	}
	if j.closed {
		s.endTask(j, i, t, s.closedOutcome(j, t), j.endReason)
		return
	}
	if delay > 0 {
		s.timers.add(timer{at: s.now + delay, kind: timerReady, job: j, index: i})
		return
	}
	t.delayed = false
	s.ready(j, i, t)
	s.enter(j)
}

func (s *Scheduler) wakeTask(j *job, i int32) {
	if t := j.task(i); t.state == TaskQueued && t.delayed {
		t.delayed = false
		s.ready(j, i, t)
		s.enter(j)
	}
}

// after keeps a gang whole and the lanes current when a task of j changed.
func (s *Scheduler) after(j *job) {
	s.regroup(j)
	s.enter(j)
	s.forget(j)
}

// regroup stops the other members of a gang once one of them has to start
// again, so that all start together. Non-idempotent members run to their end.
func (s *Scheduler) regroup(j *job) {
	if j.spec.Kind != work.Gang || !j.spec.Idempotent || j.pending == 0 {
		return
	}
	open := false
	j.each(func(_ int32, t *task) { open = open || t.state == TaskQueued })
	if !open || j.closed || j.uncertain {
		return
	}
	j.each(func(_ int32, t *task) {
		if t.run != nil {
			s.stop(t.run, StopCheckpoint, "another task of the gang has to start again")
		}
	})
}

// extraEnded counts an attempt out that was not the newest of its task.
func (s *Scheduler) extraEnded(a *attempt) {
	if t := a.task; t != nil {
		t.extra--
		s.ready(a.job, a.id.Task.Index, t)
	}
	if j := a.job; j != nil {
		j.loose = slices.DeleteFunc(j.loose, func(o *attempt) bool { return o == a })
		s.after(j)
	}
}

func (s *Scheduler) dropForeign(a *attempt) {
	list := slices.DeleteFunc(s.foreign[a.id.Task.Job], func(o *attempt) bool { return o == a })
	if s.foreign[a.id.Task.Job] = list; len(list) == 0 {
		delete(s.foreign, a.id.Task.Job)
	}
}

// judgeHost counts a success or failure for the host. Failures of a job that
// fails on several hosts are the job's.
func (s *Scheduler) judgeHost(a *attempt, ev TaskEnded) {
	h := a.host
	switch ev.Outcome {
	case work.Succeeded:
		if s.onProbation(h) {
			s.rehabilitate(h)
		}
		s.health.Succeeded(h.view.ID)
	case work.Failed:
		if a.job != nil && a.job.backoff.Blamed() {
			return
		}
		p := s.contract.Policy
		s.health.Failed(h.view.ID, a.id.Task.Job, s.now, hosthealth.Policy{
			Failures: p.QuarantineFailures, MaxPercent: p.QuarantineMaxPercent, ProbationAfter: p.ProbationAfter,
		}, len(s.hosts))
		if until, out := s.health.Quarantined(h.view.ID); out {
			s.timers.add(timer{at: until, kind: timerHost, host: h})
			s.timers.add(timer{at: until + untriedFactor*p.ProbationAfter, kind: timerHost, host: h})
			s.refresh(h)
		}
	}
}

// untriedFactor times ProbationAfter is how long a host is on probation without
// a verdict before it counts as healthy. Otherwise a host that only large gangs
// want would stay out for ever.
const untriedFactor = 10

// probe looks again at a host in quarantine whose time is over.
func (s *Scheduler) probe(h *host) {
	until, out := s.health.Quarantined(h.view.ID)
	if out && s.hostList[h.index] == h && s.now >= until+untriedFactor*s.contract.Policy.ProbationAfter {
		s.rehabilitate(h)
	}
	s.refresh(h)
}

// rehabilitate ends the quarantine of a host. Its room may not change, but
// gangs may use it again.
func (s *Scheduler) rehabilitate(h *host) {
	s.health.Forget(h.view.ID)
	s.refresh(h)
	s.wake(h)
}
