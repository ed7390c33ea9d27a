package scheduler

import (
	"slices"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/scheduler/plan"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// host is a worker host with the attempts and resources that are counted on it.
type host struct {
	view  plan.Host
	index int
	// freed is set while the host is in Scheduler.freedHosts.
	freed bool
	state HostState
	gone  bool
	// ready is set if the host accepted tasks at the last refreshRoom.
	ready bool
	// known is set once the tasks that run on the host are known.
	known         bool
	used          resource.Vector
	drained       resource.Vector
	measuredUsage resource.Vector
	running       []*attempt
	reservation   *reservation
	reservedNeed  resource.Vector
	// probationAttempt is the single attempt that a host in quarantine may run
	// once its probation begins.
	probationAttempt *attempt
}

func (h *host) find(id work.AttemptID) *attempt {
	for _, a := range h.running {
		if a.id == id {
			return a
		}
	}
	return nil
}

// free returns the capacity that the declared sizes of the tasks on the host
// leave. It may be negative.
func (h *host) free() resource.Vector { return h.view.Capacity.Sub(h.used) }

// acceptsTasks reports whether the host may start a task now.
func (s *Scheduler) acceptsTasks(h *host, now time.Duration) bool {
	if h.gone || h.state != HostReady {
		return false
	}
	until, out := s.health.Quarantined(h.view.ID)
	return !out || (now >= until && h.probationAttempt == nil)
}

// refreshRoom recomputes the free capacity of a host for the index, and makes
// requirements that may fit now searchable again.
func (s *Scheduler) refreshRoom(h *host) {
	if s.hostList[h.index] != h {
		return
	}
	old := h.view.Free
	free := resource.Vector{}
	if h.ready = s.acceptsTasks(h, s.now); h.ready {
		free = h.free()
		if h.reservation != nil {
			// Tasks outside the reservation may use what is left after the
			// reserved need and the tasks that the reservation does not drain.
			surplus := h.view.Capacity.Sub(h.reservedNeed).Sub(h.used.Sub(h.drained))
			free = componentMin(free, surplus)
		}
		if free.IsNegative() {
			free = resource.Vector{}
		}
	}
	h.view.Free = free
	s.index.Set(h.index, free, h.view.Capacity.Accelerators > 0)
	if !free.Fits(old) {
		s.hostGainedRoom(h)
	}
}

func componentMin(a, b resource.Vector) resource.Vector {
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
	s.refreshRoom(h)
}

// detach removes an attempt from the counts of its host, team and limit. The
// caller updates the task.
func (s *Scheduler) detach(a *attempt) {
	h := a.host
	i := slices.Index(h.running, a)
	h.running = slices.Delete(h.running, i, i+1)
	h.used = h.used.Sub(a.size)
	if h.probationAttempt == a {
		h.probationAttempt = nil
	}
	if a.drainedFor != nil && a.drainedFor == h.reservation {
		h.drained = h.drained.Sub(a.size)
	}
	if a.job != nil {
		a.job.live--
		s.uncharge(a)
		if a.job.placed != nil {
			a.job.placed.Add(&h.view, -1)
		}
	}
	s.refreshRoom(h)
}
