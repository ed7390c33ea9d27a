package scheduler

import "github.com/medlarpulley/medlarpulley/internal/work"

// offer emits an OfferTasks action for the tasks of j that can move if this
// shard or the limit has too little free capacity for them. The offer is
// repeated while they wait.
func (s *Scheduler) offer(j *job) {
	if j.closed || j.spanning || s.jobs[j.spec.ID] != j {
		return
	}
	if due := j.nextOffer; due > s.now {
		return
	}
	j.nextOffer = s.now + s.options.OfferInterval
	s.timers.add(timer{at: j.nextOffer, kind: timerOffer, job: j})
	if j.waiting > 0 {
		s.watchAge(j, j.lastProgress+s.contract.Policy.MaxWait)
	}
	if j.waiting == 0 || j.closed || !s.lacksRoom(j) {
		return
	}
	if s.options.HasAllHosts {
		// There is no other shard to offer tasks to; what matters is only
		// whether the job stays infeasible.
		s.checkJobFeasible(j)
		return
	}
	first, count := j.movableRange()
	if count == 0 || (j.spec.Kind == work.Gang && count != j.pending) {
		return
	}
	offer := OfferTasks{Job: j.spec.ID, First: first, Count: count, Size: j.spec.Size}
	if g, l := j.group, j.team.limit; g != nil && g.waitsForLimit && l != nil && s.anyHostFits(j.spec.Size) {
		offer.Limit, offer.LimitUnits = l.spec.Name, g.cost
	}
	s.emit(offer)
}

// lacksRoom reports whether the hosts or the limit have too little free
// capacity for j and none is being reserved for it.
func (s *Scheduler) lacksRoom(j *job) bool {
	if j.reservation != nil || (j.group != nil && j.group.reservations > 0) {
		return false
	}
	return j.group != nil && (!s.mayFit(j.group.requirement) || j.group.waitsForLimit) || s.infeasible(j) != ""
}

// movableRange returns the first contiguous range of tasks that can move: those
// that never started, and those of an idempotent job that certainly run no
// more.
func (j *job) movableRange() (first, count int32) {
	last := int32(-1)
	j.forEachTask(func(i int32, t *task) {
		if !t.startable() || (!j.spec.Idempotent && (t.mayHaveRun || t.attempts > 0)) {
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
