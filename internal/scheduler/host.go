package scheduler

import (
	"slices"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/scheduler/plan"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// host is a worker host and what is counted on it.
type host struct {
	view  plan.Host
	index int
	// open is set while the host is in the list of that name.
	open  bool
	state HostState
	gone  bool
	// ready is whether the host took tasks at the last change.
	ready bool
	// known is set once the tasks on the host are known.
	known    bool
	used     resource.Vector
	drained  resource.Vector
	usage    resource.Vector
	running  []*attempt
	reserved *reservation
	need     resource.Vector
	// trial is the one task that runs on probation.
	trial *attempt
}

func (h *host) find(id work.AttemptID) *attempt {
	for _, a := range h.running {
		if a.id == id {
			return a
		}
	}
	return nil
}

// free returns what the declared sizes on the host leave.
func (h *host) free() resource.Vector { return h.view.Capacity.Sub(h.used) }

// takes reports whether the host may take a task now.
func (s *Scheduler) takes(h *host, now time.Duration) bool {
	if h.gone || h.state != HostReady {
		return false
	}
	until, out := s.health.Quarantined(h.view.ID)
	return !out || (now >= until && h.trial == nil)
}

// refresh recomputes the room of a host for the index and wakes what may fit now.
func (s *Scheduler) refresh(h *host) {
	if s.hostList[h.index] != h {
		return
	}
	old := h.view.Free
	free := resource.Vector{}
	if h.ready = s.takes(h, s.now); h.ready {
		free = h.free()
		if h.reserved != nil {
			// What does not wait for a drained task must leave room for the need.
			surplus := h.view.Capacity.Sub(h.need).Sub(h.used.Sub(h.drained))
			free = lesser(free, surplus)
		}
		if free.IsNegative() {
			free = resource.Vector{}
		}
	}
	h.view.Free = free
	s.index.Set(h.index, free, h.view.Capacity.Accelerators > 0)
	if !free.Fits(old) {
		s.wake(h)
	}
}

func lesser(a, b resource.Vector) resource.Vector {
	return resource.Vector{
		MilliCPU:     min(a.MilliCPU, b.MilliCPU),
		MemoryMiB:    min(a.MemoryMiB, b.MemoryMiB),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

// attach counts an attempt on its host, its team and its limit.
func (s *Scheduler) attach(a *attempt) {
	h := a.host
	h.running = append(h.running, a)
	h.used = h.used.Add(a.size)
	if a.job != nil {
		a.job.live++
		s.charge(a)
		if a.job.placed != nil {
			a.job.placed.Add(&h.view, 1)
		}
	}
	s.refresh(h)
}

// detach ends the count of an attempt. The task is left to the caller.
func (s *Scheduler) detach(a *attempt) {
	h := a.host
	i := slices.Index(h.running, a)
	h.running = slices.Delete(h.running, i, i+1)
	h.used = h.used.Sub(a.size)
	if h.trial == a {
		h.trial = nil
	}
	if a.drains != nil && a.drains == h.reserved {
		h.drained = h.drained.Sub(a.size)
	}
	if a.job != nil {
		a.job.live--
		s.discharge(a)
		if a.job.placed != nil {
			a.job.placed.Add(&h.view, -1)
		}
	}
	s.refresh(h)
}
