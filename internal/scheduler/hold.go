package scheduler

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/scheduler/gang"
	"github.com/medlarpulley/medlarpulley/internal/scheduler/plan"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// hold keeps room on hosts and in the limit for the tasks of a spanning gang
// that wait in this shard, until it is confirmed, released or over.
type hold struct {
	id    string
	job   *job
	spots []spot
	tasks int32
	until time.Duration
	limit *limit
	units int64
}

// holdRequested grants a hold for all waiting tasks of a spanning gang, or for
// none. An ID that does not sort after the last one of the job is refused, so
// that a late request of an earlier try cannot replace a newer hold.
func (s *Scheduler) holdRequested(ev HoldRequested) {
	s.expireHolds()
	j := s.jobs[ev.Job]
	if j == nil || !j.spanning || ev.Hold <= j.lastHold || ev.Until <= s.now {
		return
	}
	j.lastHold = ev.Hold
	s.dropHold(j)
	lim := j.team.limit
	if !s.holdable(j) {
		return
	}
	units := j.cost * int64(j.waiting)
	if units > lim.room() || (lim.holder != nil && s.holds(lim, lim.holder)) {
		return
	}
	spots, ok := s.holdSpots(j)
	if !ok {
		return
	}
	h := &hold{id: ev.Hold, job: j, spots: spots, tasks: j.waiting, until: ev.Until, limit: lim, units: units}
	lim.held += units
	for _, p := range spots {
		p.host.used = p.host.used.Add(j.spec.Size.Scale(int64(p.tasks)))
		s.refresh(p.host)
	}
	j.hold = h
	s.holdList = append(s.holdList, h)
}

// holdable reports whether the waiting tasks of j may be held or started.
func (s *Scheduler) holdable(j *job) bool {
	return j.open() && j.team.limit != nil && !s.paused.All && (j.spec.Idempotent || !s.paused.NonIdempotent)
}

// holdSpots returns hosts for all waiting tasks of j.
func (s *Scheduler) holdSpots(j *job) ([]spot, bool) {
	var views []*plan.Host
	var list []*host
	for _, h := range s.hostList {
		if h != nil && j.spec.Size.Fits(h.view.Free) && !s.onProbation(h) {
			views, list = append(views, &h.view), append(list, h)
		}
	}
	placed, ok := gang.Policy{}.Place(int(j.waiting), j.spec.Size, views)
	var spots []spot
	for _, p := range placed {
		spots = append(spots, spot{host: list[p.Host], tasks: p.Tasks})
	}
	return spots, ok
}

// dropHold gives back what the hold of j keeps.
func (s *Scheduler) dropHold(j *job) {
	h := j.hold
	if h == nil {
		return
	}
	j.hold = nil
	for i, o := range s.holdList {
		if o == h {
			s.holdList = append(s.holdList[:i], s.holdList[i+1:]...)
			break
		}
	}
	h.limit.held -= h.units
	for _, p := range h.spots {
		p.host.used = p.host.used.Sub(j.spec.Size.Scale(int64(p.tasks)))
		s.refresh(p.host)
	}
	s.wakeLimit(h.limit)
}

// dropHolds gives back all holds. Their coordinators try again.
func (s *Scheduler) dropHolds() {
	for len(s.holdList) > 0 {
		s.dropHold(s.holdList[0].job)
	}
}

// dropHoldsOn gives back the holds that need a host which is gone.
func (s *Scheduler) dropHoldsOn(gone *host) {
	for i := 0; i < len(s.holdList); {
		if s.holdList[i].on(gone) {
			s.dropHold(s.holdList[i].job)
		} else {
			i++
		}
	}
}

func (h *hold) on(wanted *host) bool {
	for _, p := range h.spots {
		if p.host == wanted {
			return true
		}
	}
	return false
}

// expireHolds gives back the holds whose time is over.
func (s *Scheduler) expireHolds() {
	for i := 0; i < len(s.holdList); {
		if s.holdList[i].until <= s.now {
			s.dropHold(s.holdList[i].job)
		} else {
			i++
		}
	}
}

// holdReleased gives a hold back. The ID stays used, so that a request for it
// which arrives later grants nothing.
func (s *Scheduler) holdReleased(ev HoldReleased) {
	j := s.jobs[ev.Job]
	if j == nil {
		return
	}
	if j.hold != nil && j.hold.id == ev.Hold {
		s.dropHold(j)
	}
	j.lastHold = max(j.lastHold, ev.Hold)
}

// holdConfirmed starts the tasks of a hold that is not over, if everything
// that it was granted on still holds. Otherwise it gives the hold back.
func (s *Scheduler) holdConfirmed(ev HoldConfirmed) {
	s.expireHolds()
	j := s.jobs[ev.Job]
	if j == nil || j.hold == nil || j.hold.id != ev.Hold {
		return
	}
	h := j.hold
	valid := s.holdable(j) && j.waiting == h.tasks && j.team.limit == h.limit && h.limit.room() >= 0
	for _, p := range h.spots {
		valid = valid && s.takes(p.host, s.now) && !s.onProbation(p.host)
	}
	s.dropHold(j)
	if !valid {
		return
	}
	j.started = ev.Hold
	l := &lane{team: j.team, queue: &j.team.queues[j.spec.Class]}
	for _, p := range h.spots {
		for range p.tasks {
			s.startNext(l, j, p.host)
		}
	}
	s.watchWhole(j)
}

// HoldGranted reports whether a job has the hold now.
func (s *Scheduler) HoldGranted(id work.JobID, hold string) bool {
	j := s.jobs[id]
	return j != nil && j.hold != nil && j.hold.id == hold
}

// HoldStarted reports whether the tasks of a job were last started by a hold.
func (s *Scheduler) HoldStarted(id work.JobID, hold string) bool {
	j := s.jobs[id]
	return j != nil && j.started == hold
}
