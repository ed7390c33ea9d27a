package scheduler

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// reservation keeps room on hosts for one task or one gang. Other tasks use
// those hosts only as far as they leave room for it once the drained tasks end.
type reservation struct {
	lane *lane
	// job is nil for urgent work, whose lane decides which job goes first.
	job   *job
	spots []spot
	since time.Duration
}

// spot is the part of a reservation on one host.
type spot struct {
	host  *host
	tasks int
}

func (s *Scheduler) reserve(r *reservation, h *host, need resource.Vector, tasks int, drain []*attempt) {
	r.spots = append(r.spots, spot{host: h, tasks: tasks})
	h.reserved, h.need, h.drained = r, need, resource.Vector{}
	for _, a := range drain {
		a.drains = r
		h.drained = h.drained.Add(a.size)
	}
	s.refresh(h)
}

// release gives the hosts of r back.
func (s *Scheduler) release(r *reservation) {
	for _, p := range r.spots {
		p.host.reserved, p.host.need, p.host.drained = nil, resource.Vector{}, resource.Vector{}
		for _, a := range p.host.running {
			a.drains = nil
		}
		s.refresh(p.host)
	}
	r.spots = nil
}

// met reports whether every host of r has the room.
func (s *Scheduler) met(r *reservation) bool {
	for _, p := range r.spots {
		if !s.takes(p.host, s.now) || !p.host.need.Fits(p.host.free()) {
			return false
		}
	}
	return true
}

// broken reports whether a host of r takes no tasks any more.
func (s *Scheduler) broken(r *reservation) bool {
	for _, p := range r.spots {
		if p.host.gone || p.host.state != HostReady {
			return true
		}
		if _, out := s.health.Quarantined(p.host.view.ID); out {
			return true
		}
	}
	return false
}
