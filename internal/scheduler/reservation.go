package scheduler

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// reservation reserves capacity of hosts for one task or one gang. Other tasks
// use those hosts only as far as the reserved need still fits once the drained
// tasks have ended.
type reservation struct {
	group *jobGroup
	// job is nil for urgent work: the first job of the group at that time uses
	// the reservation.
	job        *job
	placements []placement
	since      time.Duration
}

// placement is the part of a reservation or hold on one host.
type placement struct {
	host  *host
	tasks int
}

func (s *Scheduler) reserve(r *reservation, h *host, need resource.Vector, tasks int, drain []*attempt) {
	r.placements = append(r.placements, placement{host: h, tasks: tasks})
	h.reservation, h.reservedNeed, h.drained = r, need, resource.Vector{}
	for _, a := range drain {
		a.drainedFor = r
		h.drained = h.drained.Add(a.size)
	}
	s.refreshRoom(h)
}

// releaseHosts removes the reservation from its hosts.
func (s *Scheduler) releaseHosts(r *reservation) {
	for _, p := range r.placements {
		p.host.reservation, p.host.reservedNeed, p.host.drained = nil, resource.Vector{}, resource.Vector{}
		for _, a := range p.host.running {
			a.drainedFor = nil
		}
		s.refreshRoom(p.host)
	}
	r.placements = nil
}

// satisfied reports whether every host of r has the reserved capacity free.
func (s *Scheduler) satisfied(r *reservation) bool {
	for _, p := range r.placements {
		if !s.acceptsTasks(p.host, s.now) || !p.host.reservedNeed.Fits(p.host.free()) {
			return false
		}
	}
	return true
}

// invalid reports whether a host of r accepts no tasks any more.
func (s *Scheduler) invalid(r *reservation) bool {
	for _, p := range r.placements {
		if p.host.gone || p.host.state != HostReady {
			return true
		}
		if _, out := s.health.Quarantined(p.host.view.ID); out {
			return true
		}
	}
	return false
}
