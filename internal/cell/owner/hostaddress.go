package owner

import (
	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/schedule"
)

// A host is polled, and gets its orders, at the address at which it answered last. The
// host list may give another one: the host has come back elsewhere, or another writer has
// changed its entry. The listed address is tried when the host does not answer, and used
// once the host has answered there under its ID and not as an earlier instance. Nothing
// is started there until the log has the new address.

// pollTarget returns the host with the address for the next poll, and the fencing token.
func (ow *Owner) pollTarget(h *hostPoller) (cell.Host, int64) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	target := h.spec()
	if h.failedAddress == h.address {
		target.Address = h.listed.Address
	}
	return target, h.calls.fence.token
}

// orderTarget returns the host with the address for orders, and the fencing token.
func (ow *Owner) orderTarget(h *hostPoller) (cell.Host, int64) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	return h.spec(), h.calls.fence.token
}

// isFenced reports whether the refusal of a call for its fencing token shows that another
// process owns the cell. Otherwise the host has seen a higher token of this owner since.
func (ow *Owner) isFenced(h *hostPoller, token int64) bool {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	return token >= h.calls.fence.token
}

// startTarget returns the host with the address for orders, a start order whose lease is on the
// clock of the lifetime that answered last, and which cancellations are known of. The order is nil
// if no lifetime has answered, if the log lacks the present version of the host, if the owner may
// not act, or if the run was given up while its order waited.
func (ow *Owner) startTarget(h *hostPoller, s schedule.Start) (cell.Host, *leaseCall, cancellationsRead) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	now := ow.options.Clock.Now()
	if h.life == nil || h.version != h.storedVersion || !ow.authority.validAt(now) || !ow.scheduler.AwaitsStart(s) {
		return cell.Host{}, nil, cancellationsRead{}
	}
	return h.spec(), h.calls.add(h.life, schedule.Run{Task: s.Task, Run: s.Run}, now), ow.cancellations.cancellationsRead
}

// spec returns the listed host with the address at which it answered last. The caller
// holds the lock.
func (h *hostPoller) spec() cell.Host {
	spec := h.listed
	spec.Address = h.address
	return spec
}

// isElsewhere reports whether an address is not the one at which the host answered last.
func (ow *Owner) isElsewhere(h *hostPoller, address string) bool {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	return address != h.address
}

// showsRestart reports whether an answer of another instance at an address shows that the
// host has restarted: the host was there, and is listed nowhere else.
func (ow *Owner) showsRestart(h *hostPoller, address string) bool {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	return address == h.address && (!h.inHostList || h.listed.Address == address)
}

// settleAddress records that a host answered at an address. It reports false if the
// answer is that of an earlier instance, or may be.
func (ow *Owner) settleAddress(h *hostPoller, address string, startedMs int64) bool {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if address == h.address {
		return true
	}
	if h.life != nil && startedMs < h.life.startedMs {
		ow.options.Log.Warn("A host that may be an earlier instance answers at the listed address.", "host", h.host.ID, "address", address, "started_ms", startedMs, "known", h.life.startedMs)
		return false
	}
	ow.options.Log.Info("A host answers at another address.", "host", h.host.ID, "address", address, "former", h.address)
	h.address = address
	ow.requireRecord(h)
	return true
}
