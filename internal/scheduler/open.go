package scheduler

import (
	"slices"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// openHost lists a host that gained room. Blocked shapes are compared with the
// current room of the listed hosts only when a queue looks for its next lane:
// to wake every shape that fits would cost more than the placement, since the
// first start takes the room that the others were woken for.
func (s *Scheduler) openHost(h *host) {
	s.growth++
	s.openMax = most(s.openMax, h.view.Free)
	if !h.open {
		h.open = true
		s.open = append(s.open, h)
	}
}

// fitsOpen reports whether the shape fits a host that gained room. Services
// look at every host, the others at those in the index.
func (s *Scheduler) fitsOpen(sh *shape) bool {
	for _, h := range s.open {
		if sh.key.size.Fits(h.view.Free) && (sh.key.kind == work.Service || indexed(h.view.Free)) {
			return true
		}
	}
	return false
}

// pruneOpen takes the hosts off the list that no listed shape fits.
func (s *Scheduler) pruneOpen() {
	kept := s.open[:0]
	s.openMax = resource.Vector{}
	for _, h := range s.open {
		if s.wanted.fitsAny(h.view.Free) {
			kept = append(kept, h)
			s.openMax = most(s.openMax, h.view.Free)
		} else {
			h.open = false
		}
	}
	clear(s.open[len(kept):])
	s.open = kept
}

// pruneHost takes h off the list if no listed shape fits it any more, and
// lowers openMax while the list is short.
func (s *Scheduler) pruneHost(h *host) {
	if !h.open {
		return
	}
	if i := slices.Index(s.open, h); !s.wanted.fitsAny(h.view.Free) {
		h.open = false
		last := len(s.open) - 1
		s.open[i], s.open[last] = s.open[last], nil
		s.open = s.open[:last]
	}
	if len(s.open) > shortOpen {
		return
	}
	s.openMax = resource.Vector{}
	for _, o := range s.open {
		s.openMax = most(s.openMax, o.view.Free)
	}
}

// shortOpen bounds the hosts that pruneHost compares after each start.
const shortOpen = 64

func most(a, b resource.Vector) resource.Vector {
	return resource.Vector{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryMiB:    max(a.MemoryMiB, b.MemoryMiB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
