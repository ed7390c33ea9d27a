package scheduler

import "github.com/medlarpulley/medlarpulley/internal/work"

// offer names the tasks of j that can move and find no room here. An
// offer is repeated while they wait.
func (s *Scheduler) offer(j *job) {
	if j.closed || j.spanning || s.jobs[j.spec.ID] != j {
		return
	}
	if due := j.nextOffer; due > s.now {
		return
	}
	j.nextOffer = s.now + s.options.OfferEvery
	s.timers.add(timer{at: j.nextOffer, kind: timerOffer, job: j})
	if j.waiting > 0 {
		s.watchAge(j, j.progress+s.contract.Policy.MaxWait)
	}
	if j.waiting == 0 || j.closed || !s.stuck(j) {
		return
	}
	if s.options.WholeFleet {
		// There is no other shard; only a lasting lack of any host matters.
		s.checkJob(j)
		return
	}
	first, count := j.unstarted()
	if count == 0 || (j.spec.Kind == work.Gang && count != j.pending) {
		return
	}
	s.emit(OfferTasks{Job: j.spec.ID, First: first, Count: count, Size: j.spec.Size})
}

// stuck reports whether hosts or limit have no room for j and none is being made.
func (s *Scheduler) stuck(j *job) bool {
	if j.reservedBy != nil || (j.lane != nil && j.lane.reservations > 0) {
		return false
	}
	return j.lane != nil && (!s.candidate(j.lane.shape) || j.lane.overLimit) || s.infeasible(j) != ""
}

// unstarted returns the first contiguous range of tasks that can move: those
// that never started, and those of an idempotent job that certainly run no more.
func (j *job) unstarted() (first, count int32) {
	last := int32(-1)
	j.each(func(i int32, t *task) {
		if !t.startable() || (!j.spec.Idempotent && (t.ran || t.attempts > 0)) {
			return
		}
		switch {
		case count == 0:
			first, count, last = i, 1, i
		case i == last+1:
			count, last = count+1, i
		}
	})
	return first, count
}
