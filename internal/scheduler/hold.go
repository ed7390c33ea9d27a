package scheduler

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/scheduler/gang"
	"github.com/medlarpulley/medlarpulley/internal/scheduler/plan"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// hold reserves capacity of hosts and units of the limit for the tasks of a
// spanning gang that wait in this shard, until it is confirmed or released or
// expires.
type hold struct {
	id         string
	job        *job
	placements []placement
	tasks      int32
	until      time.Duration
	limit      *limit
	units      int64
}

// holdRequested grants a hold for all waiting tasks of a spanning gang, or for
// none. An ID that does not sort after the last one of the job is refused, so
// that a delayed request of an earlier try cannot replace a newer hold.
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
	if units > lim.room() || (lim.keptFor != nil && s.keepsLimit(lim, lim.keptFor)) {
		return
	}
	placements, ok := s.chooseHoldHosts(j)
	if !ok {
		return
	}
	h := &hold{id: ev.Hold, job: j, placements: placements, tasks: j.waiting, until: ev.Until, limit: lim, units: units}
	lim.heldUnits += units
	for _, p := range placements {
		p.host.used = p.host.used.Add(j.spec.Size.Scale(int64(p.tasks)))
		s.refreshRoom(p.host)
	}
	j.hold = h
	s.holds = append(s.holds, h)
}

// holdable reports whether the waiting tasks of j may be held or started.
func (s *Scheduler) holdable(j *job) bool {
	return j.schedulable() && j.team.limit != nil && !s.paused.All && (j.spec.Idempotent || !s.paused.NonIdempotent)
}

// chooseHoldHosts returns hosts for all waiting tasks of j.
func (s *Scheduler) chooseHoldHosts(j *job) ([]placement, bool) {
	var views []*plan.Host
	var list []*host
	for _, h := range s.hostList {
		if h != nil && j.spec.Size.Fits(h.view.Free) && !s.onProbation(h) {
			views, list = append(views, &h.view), append(list, h)
		}
	}
	placed, ok := gang.Policy{}.Place(int(j.waiting), j.spec.Size, views)
	var placements []placement
	for _, p := range placed {
		placements = append(placements, placement{host: list[p.Host], tasks: p.Tasks})
	}
	return placements, ok
}

// dropHold releases the capacity and units of the hold of j.
func (s *Scheduler) dropHold(j *job) {
	h := j.hold
	if h == nil {
		return
	}
	j.hold = nil
	for i, o := range s.holds {
		if o == h {
			s.holds = append(s.holds[:i], s.holds[i+1:]...)
			break
		}
	}
	h.limit.heldUnits -= h.units
	for _, p := range h.placements {
		p.host.used = p.host.used.Sub(j.spec.Size.Scale(int64(p.tasks)))
		s.refreshRoom(p.host)
	}
	s.resumeFitting(h.limit)
}

// dropHolds drops all holds. Their coordinators try again.
func (s *Scheduler) dropHolds() {
	for len(s.holds) > 0 {
		s.dropHold(s.holds[0].job)
	}
}

// dropHoldsOn drops the holds that use a removed host.
func (s *Scheduler) dropHoldsOn(gone *host) {
	for i := 0; i < len(s.holds); {
		if s.holds[i].uses(gone) {
			s.dropHold(s.holds[i].job)
		} else {
			i++
		}
	}
}

func (h *hold) uses(wanted *host) bool {
	for _, p := range h.placements {
		if p.host == wanted {
			return true
		}
	}
	return false
}

// expireHolds drops the holds that have expired.
func (s *Scheduler) expireHolds() {
	for i := 0; i < len(s.holds); {
		if s.holds[i].until <= s.now {
			s.dropHold(s.holds[i].job)
		} else {
			i++
		}
	}
}

// holdReleased drops a hold. Its ID counts as used, so that a request for it
// which arrives later is refused.
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

// holdConfirmed starts the tasks of a hold that has not expired, if the
// conditions under which it was granted still apply. Otherwise it drops the
// hold.
func (s *Scheduler) holdConfirmed(ev HoldConfirmed) {
	s.expireHolds()
	j := s.jobs[ev.Job]
	if j == nil || j.hold == nil || j.hold.id != ev.Hold {
		return
	}
	h := j.hold
	valid := s.holdable(j) && j.waiting == h.tasks && j.team.limit == h.limit && h.limit.room() >= 0
	for _, p := range h.placements {
		valid = valid && s.acceptsTasks(p.host, s.now) && !s.onProbation(p.host)
	}
	s.dropHold(j)
	if !valid {
		return
	}
	j.startedBy = ev.Hold
	g := &jobGroup{team: j.team, queue: &j.team.queues[j.spec.Class]}
	for _, p := range h.placements {
		for range p.tasks {
			s.startNext(g, j, p.host)
		}
	}
	s.extendGangDeadline(j)
}

// HoldGranted reports whether the job has this hold now.
func (s *Scheduler) HoldGranted(id work.JobID, hold string) bool {
	j := s.jobs[id]
	return j != nil && j.hold != nil && j.hold.id == hold
}

// HoldStarted reports whether the tasks of a job were last started by this
// hold.
func (s *Scheduler) HoldStarted(id work.JobID, hold string) bool {
	j := s.jobs[id]
	return j != nil && j.startedBy == hold
}
