package scheduler

import "github.com/medlarpulley/medlarpulley/internal/work"

// openHost lists a host that gained room. Blocked shapes are compared with the
// current room of the listed hosts only when a queue looks for its next lane:
// to wake every shape that fits would cost more than the placement, since the
// first start takes the room that the others were woken for.
func (s *Scheduler) openHost(h *host) {
	s.growth++
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
	for _, h := range s.open {
		if s.wanted.fitsAny(h.view.Free) {
			kept = append(kept, h)
		} else {
			h.open = false
		}
	}
	clear(s.open[len(kept):])
	s.open = kept
}

// pruneHost is pruneOpen for one host.
func (s *Scheduler) pruneHost(h *host) {
	if !h.open || s.wanted.fitsAny(h.view.Free) {
		return
	}
	h.open = false
	for i, o := range s.open {
		if o == h {
			last := len(s.open) - 1
			s.open[i], s.open[last] = s.open[last], nil
			s.open = s.open[:last]
			return
		}
	}
}
