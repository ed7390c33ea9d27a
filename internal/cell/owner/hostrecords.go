package owner

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/platform"
)

// hostChange is a change of the record of a host.
type hostChange struct {
	poller  *hostPoller
	version int
	closed  bool
	// lifetime is the one in the record.
	lifetime int64
}

// hostRecords returns the records of hosts that are to be closed or opened to new
// runs. A host is closed at once, but opened only once its record is stored.
func (ow *Owner) hostRecords() (records []platform.Record, changes []hostChange) {
	ow.mu.Lock()
	defer ow.unlock()
	if ow.broken {
		return nil, nil
	}
	for _, id := range ow.removedHosts {
		records = append(records, registry.HostDeletionRecord(id))
	}
	ow.removedHosts = nil
	for _, h := range ow.hosts {
		closed := h.listed.Leaving || !h.inHostList || h.allRunsGone || h.unreachable
		if !ow.needsRecord(h, closed) {
			continue
		}
		rec := registry.Host{Spec: h.spec(), Closed: closed, Lifetime: h.lifetimeToStore(ow.options.Clock.Now())}
		if closed {
			for _, r := range ow.scheduler.CloseHost(h.host.ID) {
				rec.Runs = append(rec.Runs, registry.Run{Task: r.Task, Run: r.Run})
			}
		}
		r := registry.HostRecord(rec)
		if err := r.Check(); err != nil {
			// A successor takes it as open: any runs may be present there.
			if !h.unstorable {
				ow.options.Log.Error("The record that closes a host cannot be stored.", "host", h.host.ID, "runs", len(rec.Runs), "error", err)
			}
			h.unstorable = true
			continue
		}
		h.unstorable = false
		records = append(records, r)
		changes = append(changes, hostChange{h, h.version, closed, rec.Lifetime})
	}
	return records, changes
}

// needsRecord reports whether a record is to be stored that closes or opens a host or has
// its new address or lifetime. The caller holds the lock.
func (ow *Owner) needsRecord(h *hostPoller, closed bool) bool {
	if !closed {
		changed := h.storedVersion != h.version || h.storedLifetime != h.lifetimeToStore(ow.options.Clock.Now())
		return h.runsKnown && (h.storedClosed || !h.stored || changed)
	}
	// The runs of earlier owners on a host that has never answered are unknown. A
	// successor would assume that a closed host has only the recorded runs.
	known := h.runsKnown || h.allRunsGone || ow.reconciled.Load()
	return known && h.stored && (!h.storedClosed || h.storedVersion != h.version)
}

// lifetimeToStore returns the lifetime for the record of the host. It is NoLifetime while the
// present one may hold a longer lease than the owner's orders give, so that a successor waits
// for the longest lease. The caller holds the lock.
func (h *hostPoller) lifetimeToStore(now time.Duration) int64 {
	known := h.storedLifetime
	if h.life != nil {
		known = h.life.startedMs
	}
	if h.life != nil && h.life.lease.inherits(now) || (h.life == nil || h.unreachable) && h.isListedAsAnother(known) {
		return registry.NoLifetime
	}
	return known
}

// recordAllows reports whether runs may be started in a lifetime that has just been heard of by
// the record of the host in the log: the record names it, or it is the first one of the term and
// a process of a version that stores no lifetimes has written the record. The caller holds the
// lock.
func (h *hostPoller) recordAllows(life *lifetime, first bool) bool {
	return h.storedLifetime == life.startedMs || first && h.storedLifetime == 0
}

// requireRecord closes a host to new runs until a record of it is stored that is written from now
// on. The host has changed its address, or answers in a lifetime that the log does not name: it
// has forgotten the fencing tokens that it had seen. An append that is accepted after that shows
// that no later owner has relied on the host to refuse this one. The caller holds the lock.
func (ow *Owner) requireRecord(h *hostPoller) {
	h.version++
	ow.scheduler.CloseHost(h.host.ID)
}

// hostRecordsStored is called once the records of changed hosts are stored.
func (ow *Owner) hostRecordsStored(changes []hostChange) {
	ow.mu.Lock()
	defer ow.unlock()
	for _, c := range changes {
		if ow.hosts[c.poller.host.ID] != c.poller {
			continue // the host was removed, and may have come back, while its record was stored
		}
		c.poller.stored, c.poller.storedClosed, c.poller.storedVersion, c.poller.storedLifetime = true, c.closed, c.version, c.lifetime
		if !c.closed && c.version == c.poller.version {
			ow.scheduler.OpenHost(c.poller.host.ID)
		}
	}
}
