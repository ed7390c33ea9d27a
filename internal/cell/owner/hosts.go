package owner

import (
	"context"
	"maps"
	"slices"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/cell/schedule"
	"github.com/medlarpulley/medlarpulley/platform"
)

// SetHosts adds the hosts of which the log has a record (stored), and replaces the set
// of hosts that the platform lists. stored is given once, with the first list. Nothing
// is started on other hosts until their records are stored: a later owner has to know
// on which hosts there may be runs.
func (ow *Owner) SetHosts(ctx context.Context, stored map[string]registry.Host, listed []cell.Host) {
	ow.mu.Lock()
	defer ow.unlock()
	if ow.broken || ow.ended {
		return
	}
	for _, h := range ow.hosts {
		h.inHostList = false
	}
	for _, id := range slices.Sorted(maps.Keys(stored)) {
		h := ow.addHost(ctx, stored[id].Spec)
		h.stored, h.storedLifetime = true, stored[id].Lifetime
		ow.restoreClosed(h, stored[id])
	}
	for _, spec := range listed {
		h := ow.hosts[spec.ID]
		if h == nil {
			h = ow.addHost(ctx, spec)
			h.closedByPreviousOwner = true
			ow.scheduler.CloseHost(spec.ID)
		}
		if spec.Address != h.listed.Address && spec.Address != h.address {
			h.pollNow() // the host may have gone from its former address
		}
		h.inHostList, h.listed = true, spec
		if spec.StartedMs != 0 {
			h.listedLifetime = spec.StartedMs
		}
	}
	ow.scheduler.SetListedHosts(listed)
	ow.forgetOldCalls()
	ow.requestDecision()
}

// callsTo returns the calls to a host that a later lifetime may carry out, also those from before
// it was removed. The caller holds the lock.
func (ow *Owner) callsTo(id string) *leaseCalls {
	s := ow.callsToHosts[id]
	if s == nil {
		s = &leaseCalls{fence: newHostFence(ow.options.Self.Token, ow.tokenFloor)}
		ow.callsToHosts[id] = s
	}
	return s
}

// forgetOldCalls forgets the calls to removed hosts that can be carried out no more. The caller
// holds the lock.
func (ow *Owner) forgetOldCalls() {
	now := ow.options.Clock.Now()
	maps.DeleteFunc(ow.callsToHosts, func(id string, s *leaseCalls) bool {
		if ow.hosts[id] != nil || !s.areTooOld(now) {
			return false
		}
		ow.tokenFloor = max(ow.tokenFloor, s.fence.token) // the host may be back, and have seen it
		return true
	})
}

// addHost adds a host and begins to poll it. The caller holds the lock.
func (ow *Owner) addHost(ctx context.Context, spec cell.Host) *hostPoller {
	h := &hostPoller{
		host: spec, listed: spec, address: spec.Address, interrupt: make(chan struct{}, 1), connection: platform.NewHostConnection(), calls: ow.callsTo(spec.ID),
	}
	ow.hosts[spec.ID] = h
	ow.scheduler.SetHosts([]cell.Host{spec})
	var pollCtx context.Context
	pollCtx, h.cancel = context.WithCancel(ctx)
	ow.runGuarded(func() { ow.pollLoop(pollCtx, h) })
	return h
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
