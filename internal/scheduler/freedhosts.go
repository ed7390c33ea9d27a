package scheduler

import (
	"slices"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// addFreedHost lists a host that gained free capacity. Blocked requirements are
// compared with the current free capacity of the freed hosts only when a queue
// searches for its next group: to unblock every requirement that fits would
// cost more than the placement, since the first start takes the capacity for
// which the others were unblocked.
func (s *Scheduler) addFreedHost(h *host) {
	s.roomVersion++
	s.maxFreed = componentMax(s.maxFreed, h.view.Free)
	if !h.freed {
		h.freed = true
		s.freedHosts = append(s.freedHosts, h)
	}
}

// fitsFreedHost reports whether the requirement fits a freed host. A service
// may use any host, other tasks only the hosts in the index.
func (s *Scheduler) fitsFreedHost(req *requirement) bool {
	for _, h := range s.freedHosts {
		if req.key.size.Fits(h.view.Free) && (req.key.kind == work.Service || coveredByIndex(h.view.Free)) {
			return true
		}
	}
	return false
}

// pruneFreedHosts removes the freed hosts that no listed requirement fits.
func (s *Scheduler) pruneFreedHosts() {
	kept := s.freedHosts[:0]
	s.maxFreed = resource.Vector{}
	for _, h := range s.freedHosts {
		if s.waitingRequirements.fitsAny(h.view.Free) {
			kept = append(kept, h)
			s.maxFreed = componentMax(s.maxFreed, h.view.Free)
		} else {
			h.freed = false
		}
	}
	clear(s.freedHosts[len(kept):])
	s.freedHosts = kept
}

// pruneFreedHost removes h from the freed hosts if no listed requirement fits
// it any more, and recomputes maxFreed while the list is short.
func (s *Scheduler) pruneFreedHost(h *host) {
	if !h.freed {
		return
	}
	if i := slices.Index(s.freedHosts, h); !s.waitingRequirements.fitsAny(h.view.Free) {
		h.freed = false
		last := len(s.freedHosts) - 1
		s.freedHosts[i], s.freedHosts[last] = s.freedHosts[last], nil
		s.freedHosts = s.freedHosts[:last]
	}
	if len(s.freedHosts) > maxFreedRecompute {
		return
	}
	s.maxFreed = resource.Vector{}
	for _, o := range s.freedHosts {
		s.maxFreed = componentMax(s.maxFreed, o.view.Free)
	}
}

// maxFreedRecompute is the number of freed hosts up to which each start
// recomputes maxFreed.
const maxFreedRecompute = 64

func componentMax(a, b resource.Vector) resource.Vector {
	return resource.Vector{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryMiB:    max(a.MemoryMiB, b.MemoryMiB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
