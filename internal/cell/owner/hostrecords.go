package owner

import (
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/platform"
)

// hostRecords returns the records of hosts that are to be closed or opened to new
// runs. A host is closed at once, but opened only once its record is stored.
func (ow *Owner) hostRecords() (records []platform.Record, changed []*hostPoller) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	for _, id := range ow.removedHosts {
		records = append(records, registry.HostDeletionRecord(id))
	}
	ow.removedHosts = nil
	for _, h := range ow.hosts {
		closed := h.host.Leaving || !h.inHostList || h.allRunsGone || h.unreachable
		// The runs of earlier owners on a host that has never answered are unknown. A
		// successor would assume that a closed host has only the recorded runs.
		known := h.runsKnown || h.allRunsGone || ow.reconciled
		if closed == h.storedClosed || closed && !known || !closed && !h.runsKnown {
			continue
		}
		rec := registry.Host{Spec: h.host, Closed: closed}
		if closed {
			for _, r := range ow.scheduler.CloseHost(h.host.ID) {
				rec.Runs = append(rec.Runs, registry.Run{Task: r.Task, Run: r.Run})
			}
		}
		records = append(records, registry.HostRecord(rec))
		changed = append(changed, h)
	}
	return records, changed
}

// hostRecordsStored is called once the records of changed hosts are stored.
func (ow *Owner) hostRecordsStored(changed []*hostPoller) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	for _, h := range changed {
		h.storedClosed = !h.storedClosed
		if !h.storedClosed {
			ow.scheduler.OpenHost(h.host.ID)
		}
	}
}
