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
	j.uncertain = j.uncertain || (ev.Attempts > 0 && s.unknown > 0 && !ev.Settled)
	if (j.uncertain || len(ev.Intended) > 0) && !j.doubtful {
		j.doubtful = true
		s.doubtful = append(s.doubtful, j)
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
			j.parts = append(j.parts, part{first: first, tasks: make([]task, i-first)})
			p := &j.parts[len(j.parts)-1]
			for n := range p.tasks {
				s.initTask(j, p.first+int32(n), &p.tasks[n], ev)
			}
		}
		first = i + 1
		if t != nil && t.state == TaskMoved {
			s.initTask(j, i, t, ev)
		}
	}
	loose := j.loose
	j.loose = nil
	for _, a := range loose {
		s.bind(a)
	}
	for _, a := range s.foreign[j.spec.ID] {
		s.claim(a, j)
	}
	delete(s.foreign, j.spec.ID)
	s.after(j)
}

func (s *Scheduler) newJob(ev JobAdded) *job {
	j := &job{spec: ev.Job, accepted: s.now - max(ev.Age, 0), team: s.team(ev.Job.Team), slot: len(s.jobList)}
	j.spanning, j.offset = ev.Spanning, ev.Offset
	j.progress = j.accepted
	j.order = j.accepted
	if d := ev.Job.Deadline; d > 0 {
		expected, _ := s.learner.Runtime(ev.Job.Template, ev.Job.Runtime)
		j.order = min(j.order, j.accepted+d-expected-s.contract.Policy.MaxWait)
	}
	if ev.Job.Kind == work.Service {
		j.placed = &plan.Placed{}
	}
	s.priceJob(j)
	s.jobs[ev.Job.ID] = j
	s.jobList = append(s.jobList, j)
	if j.spanning {
		s.spanning = append(s.spanning, j)
	}
	s.fresh = append(s.fresh, j)
	s.timers.add(timer{at: j.accepted + s.options.OfferAfter, kind: timerOffer, job: j})
	return j
}

// priceJob sets what the contract says about the tasks of j.
func (s *Scheduler) priceJob(j *job) {
	j.priority = s.contract.Queues[j.spec.Queue].Priority
	j.cost = 0
	if j.team.limit != nil {
		j.cost = j.team.limit.cost(j.spec.Size)
	}
}

func (s *Scheduler) initTask(j *job, i int32, t *task, ev JobAdded) {
	listed := t.listed
	*t = task{since: j.accepted, attempts: max(t.attempts, ev.Attempts), extra: t.extra, listed: listed}
	if o, ok := ev.Ended[i]; ok && o != work.Pending {
		t.state, t.outcome = TaskDone, o
		return
	}
	j.pending++
	if n, ok := ev.Intended[i]; ok && !j.spec.Idempotent {
		t.state, t.attempts, t.ran = TaskHeld, max(t.attempts, n), true
		expiry := s.now
		if !ev.Settled {
			expiry += waitOf(j.spec.Lease)
		}
		s.timers.add(timer{at: expiry, kind: timerHeld, job: j, index: i})
		return
	}
	if j.closed {
		s.endTask(j, i, t, j.endOf, j.endReason)
		return
	}
	s.ready(j, i, t)
}

// ready lists a queued task as startable.
func (s *Scheduler) ready(j *job, i int32, t *task) {
	if !t.startable() {
		return
	}
	j.count(1)
	if !t.listed {
		t.listed = true
		j.ready = append(j.ready, i)
	}
}

// claim gives an attempt of an unknown job to the job.
func (s *Scheduler) claim(a *attempt, j *job) {
	a.job = j
	j.live++
	s.charge(a)
	if j.placed != nil {
		j.placed.Add(&a.host.view, 1)
	}
	s.bind(a)
}

// expireHeld ends a held task once no lease on it can be left.
func (s *Scheduler) expireHeld(j *job, i int32) {
	if t := j.task(i); t != nil && t.state == TaskHeld {
		s.endTask(j, i, t, work.Lost, "may have been started before, and no host reports it")
		s.enter(j)
		s.forget(j)
	}
}

func (s *Scheduler) jobCancelled(id work.JobID) {
	if j := s.jobs[id]; j != nil {
		s.close(j, work.Cancelled, "job cancelled")
	}
}

// close ends the queued tasks of j, a bounded number at each Decide. Running
// ones are stopped if the job was cancelled.
func (s *Scheduler) close(j *job, o work.Outcome, reason string) {
	if j.closed && (j.endOf == o || j.endOf == work.Cancelled) {
		return
	}
	s.dropHold(j)
	if j.uncertain {
		// Whether the queued tasks ran is known once all hosts are adopted.
		j.each(func(i int32, t *task) {
			if t.run != nil {
				s.stop(t.run, StopKill, reason)
			}
		})
	} else if !j.closed || j.cursor < 0 {
		s.closing = append(s.closing, j)
	}
	if !j.closed {
		j.want(-int64(j.waiting))
	}
	j.closed, j.endOf, j.endReason, j.cursor = true, o, reason, 0
	if j.lane != nil {
		s.relist(j.lane)
	}
}

// endClosed ends tasks of closed jobs until the actions reach the bound.
func (s *Scheduler) endClosed(bound int) {
	for len(s.closing) > 0 && len(s.out) < bound {
		j := s.closing[0]
		if !s.endSome(j, bound) {
			return
		}
		j.cursor = -1
		s.closing[0] = nil
		s.closing = s.closing[1:]
		s.forget(j)
	}
}

// endSome continues to end the tasks of j and reports whether it is through.
func (s *Scheduler) endSome(j *job, bound int) bool {
	at := int32(0)
	for k := range j.parts {
		p := &j.parts[k]
		for n := max(j.cursor-at, 0); int(n) < len(p.tasks); n++ {
			if len(s.out) >= bound {
				j.cursor = at + n
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
		s.endTask(j, i, t, s.closedOutcome(j, t), j.endReason)
	case t.run != nil && j.endOf == work.Cancelled:
		s.stop(t.run, StopKill, j.endReason)
	}
}

func (s *Scheduler) closedOutcome(j *job, t *task) work.Outcome {
	if j.endOf == work.Cancelled && t.ran {
		return work.Stopped
	}
	return j.endOf
}

// endTask fixes the outcome of a task.
func (s *Scheduler) endTask(j *job, i int32, t *task, o work.Outcome, reason string) {
	if t.startable() {
		j.count(-1)
	}
	t.state, t.outcome, t.run = TaskDone, o, nil
	j.pending--
	s.emit(EndTask{Task: work.TaskID{Job: j.spec.ID, Index: i}, Outcome: o, Reason: reason})
}

// emit adds an action to the next result of Decide.
func (s *Scheduler) emit(a Action) {
	if s.deciding {
		s.out = append(s.out, a)
	} else {
		s.pending = append(s.pending, a)
	}
	s.decisions.add(s.now, a)
}

// forget drops a job that has no open tasks, no attempts and no queued work.
func (s *Scheduler) forget(j *job) {
	if j.pending > 0 || j.live > 0 || (j.closed && j.cursor >= 0) || s.jobs[j.spec.ID] != j {
		return
	}
	delete(s.jobs, j.spec.ID)
	if j.spanning {
		s.spanning = slices.DeleteFunc(s.spanning, func(o *job) bool { return o == j })
	}
	last := s.jobList[len(s.jobList)-1]
	s.jobList[j.slot], last.slot = last, j.slot
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
				j.count(-1)
			}
			t.state = TaskMoved
			j.pending--
		}
	}
	if j.lane != nil {
		s.relist(j.lane)
	}
	s.enter(j)
	s.forget(j)
}

// sortedKeys keeps results independent of the order of a map.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// queuedFor returns how long a task has waited.
func (s *Scheduler) queuedFor(t *task) time.Duration { return max(s.now-t.since, 0) }
