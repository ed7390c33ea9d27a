package owner

import (
	"context"
	"slices"
	"strings"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/cell/schedule"
)

// SetHosts adds the hosts that may have runs (stored), and replaces the set of
// hosts that the platform lists. Every listed host must be stored in the log
// before.
func (ow *Owner) SetHosts(ctx context.Context, stored map[string]registry.Host, listed []cell.Host) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	for _, h := range ow.hosts {
		h.inHostList = false
	}
	list := make([]cell.Host, 0, len(stored))
	for _, h := range stored {
		list = append(list, h.Spec)
	}
	slices.SortFunc(list, func(a, b cell.Host) int { return strings.Compare(a.ID, b.ID) })
	ow.scheduler.SetHosts(list)
	for _, spec := range list {
		h := ow.hosts[spec.ID]
		if h == nil {
			h = &hostPoller{host: spec, interrupt: make(chan struct{}, 1), lease: lease{duration: ow.leaseDuration()}}
			ow.hosts[spec.ID] = h
			ow.restoreClosed(h, stored[spec.ID])
			var pollCtx context.Context
			pollCtx, h.cancel = context.WithCancel(ctx)
			ow.goroutines.Add(1)
			go func() {
				defer ow.goroutines.Done()
				ow.pollLoop(pollCtx, h)
			}()
		}
	}
	for _, spec := range listed {
		if h := ow.hosts[spec.ID]; h != nil {
			h.inHostList, h.host.Leaving = true, spec.Leaving
		}
	}
	ow.scheduler.SetListedHosts(listed)
	ow.requestDecision()
}

// restoreClosed takes over what the previous owner stored about a host that it had
// closed to new runs.
func (ow *Owner) restoreClosed(h *hostPoller, stored registry.Host) {
	if !stored.Closed {
		return
	}
	h.closedByPreviousOwner, h.storedClosed = true, true
	ow.scheduler.CloseHost(h.host.ID)
	for _, r := range stored.Runs {
		ow.scheduler.AssumeRunPresent(h.host.ID, schedule.Run{Task: r.Task, Run: r.Run}, ow.options.Clock.Now())
	}
}

// PolledHosts returns the IDs of the hosts that are polled.
func (ow *Owner) PolledHosts() map[string]bool {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	known := make(map[string]bool, len(ow.hosts))
	for id := range ow.hosts {
		known[id] = true
	}
	return known
}
