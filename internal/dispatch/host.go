package dispatch

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/lease"
	"github.com/medlarpulley/medlarpulley/internal/platform/worker"
	"github.com/medlarpulley/medlarpulley/internal/scheduler"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// host is the owner's state for one host and its worker. Dispatcher.mu guards it.
type host struct {
	entry    HostEntry
	lease    lease.Tracker
	attempts map[work.AttemptID]*attempt
	starts   []scheduler.StartTask
	stops    []worker.Stop
	acks     []work.AttemptID
	// adopted is set once a full report of the worker has been applied under
	// the owner's fencing token.
	adopted bool
	// needsFullReport makes the next poll request a full report.
	needsFullReport bool
	failures        int
	lastHeard       time.Duration
	leaving         bool
	state           scheduler.HostState

	// exclusive is a lock that serialises starts and full reports. A full report
	// that overtakes a start would not list the task, which could then be
	// started twice.
	exclusive chan struct{}
	// wake signals sendLoop that starts or stops are queued.
	wake chan struct{}
	// stop is closed to end the goroutines of the host.
	stop chan struct{}
}

func newHost(e HostEntry, now time.Duration) *host {
	return &host{
		entry: e, lastHeard: now, attempts: map[work.AttemptID]*attempt{},
		exclusive: make(chan struct{}, 1), wake: make(chan struct{}, 1), stop: make(chan struct{}),
	}
}

// signal wakes sendLoop without blocking.
func (h *host) signal() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// schedulerState returns the state that is reported to the scheduler.
func (h *host) schedulerState() scheduler.HostState {
	switch {
	case h.failures >= unreachableThreshold && h.adopted:
		return scheduler.HostUnreachable
	case !h.adopted:
		return scheduler.HostUnknown
	case h.leaving || h.entry.Leaving:
		return scheduler.HostLeaving
	default:
		return scheduler.HostReady
	}
}

// description returns the host as it is reported to the scheduler.
func (h *host) description() scheduler.Host {
	return scheduler.Host{
		ID: h.entry.ID, Zone: h.entry.Zone, Region: h.entry.Region, Rack: h.entry.Rack,
		Capacity: h.entry.Capacity, State: h.state,
	}
}

// hasUnknownStart reports whether there is an attempt for which it is not known
// whether the worker started it. A full report can decide this once the stamp
// of the start is older than worker.StampMaxAge, because the worker refuses the
// start from then on.
func (h *host) hasUnknownStart() bool {
	for _, a := range h.attempts {
		if a.state == attemptStartUnknown {
			return true
		}
	}
	return false
}
