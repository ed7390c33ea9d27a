package dispatch

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/lease"
	"github.com/medlarpulley/medlarpulley/internal/platform/worker"
	"github.com/medlarpulley/medlarpulley/internal/scheduler"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// host is the owner's side of one worker. The shard's lock guards it.
type host struct {
	entry    HostEntry
	lease    lease.Host
	attempts map[work.AttemptID]*attempt
	starts   []scheduler.StartTask
	stops    []worker.Stop
	acks     []work.AttemptID
	// adopted is true once the worker has reported everything under this token.
	adopted bool
	// reconcile asks for a full report.
	reconcile bool
	failures  int
	lastHeard time.Duration
	leaving   bool
	state     scheduler.HostState

	// exclusive serialises starts and full reports: a full report that
	// overtakes a start would not show the task and let it start twice.
	exclusive chan struct{}
	// wake tells the sender that there is something to send.
	wake chan struct{}
	// stop ends the goroutines of the host.
	stop chan struct{}
}

func newHost(e HostEntry, now time.Duration) *host {
	return &host{
		entry: e, lastHeard: now, attempts: map[work.AttemptID]*attempt{},
		exclusive: make(chan struct{}, 1), wake: make(chan struct{}, 1), stop: make(chan struct{}),
	}
}

// signal wakes the sender without blocking.
func (h *host) signal() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// targetState returns the state that the scheduler should see.
func (h *host) targetState() scheduler.HostState {
	switch {
	case h.failures >= unreachableAfter && h.adopted:
		return scheduler.HostUnreachable
	case !h.adopted:
		return scheduler.HostUnknown
	case h.leaving || h.entry.Leaving:
		return scheduler.HostLeaving
	default:
		return scheduler.HostReady
	}
}

// description returns the scheduler's view of the host.
func (h *host) description() scheduler.Host {
	return scheduler.Host{
		ID: h.entry.ID, Zone: h.entry.Zone, Region: h.entry.Region, Rack: h.entry.Rack,
		Capacity: h.entry.Capacity, State: h.state,
	}
}

// hasUnknown reports whether an attempt is in doubt that a full report can
// settle by now: the worker refuses the start from worker.StampMaxAge on.
func (h *host) hasUnknown() bool {
	for _, a := range h.attempts {
		if a.state == attemptUnknown {
			return true
		}
	}
	return false
}
