package owner

import (
	"context"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/platform"
)

const (
	// heartbeatInterval is the time without an ownership or progress record in the log
	// after which the owner appends a heartbeat. The other nodes see from these records
	// that it acts.
	heartbeatInterval = 400 * time.Millisecond
	// heartbeatCheckInterval is the time between two checks whether a heartbeat is due.
	heartbeatCheckInterval = heartbeatInterval / 4
	// decisionTimeout is how long an owner that ends no decision counts as acting. It
	// then writes no heartbeats, so that another node replaces it.
	decisionTimeout = AuthorityDuration
)

// sendHeartbeats appends heartbeats until ctx ends or an append fails. It needs no lock
// that a decision holds, and waits for no other work than the append in flight. A
// heartbeat also tells whether a successor has to consider earlier owners.
func (ow *Owner) sendHeartbeats(ctx context.Context) {
	self := ow.options.Self
	t := time.NewTicker(heartbeatCheckInterval)
	defer t.Stop()
	decided := true
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := ow.options.Clock.Now()
		decides := ow.decides(now)
		if decided && !decides {
			ow.options.Log.Error("No decision has ended for a long time; the owner writes no heartbeats.", "token", self.Token, "timeout", decisionTimeout)
		}
		decided = decides
		next, due := ow.nextHeartbeat(self, now)
		if !decides || !due {
			continue
		}
		self = next
		if !ow.sendHeartbeat(ctx, self) {
			return
		}
	}
}

// nextHeartbeat returns the heartbeat after last, and whether it is due.
func (ow *Owner) nextHeartbeat(last registry.Ownership, now time.Duration) (next registry.Ownership, due bool) {
	next = last
	next.Reconciled = ow.EarlierOwnersEnded()
	next.HeartbeatNumber++
	return next, ow.heartbeatDue(now) || next.Reconciled != last.Reconciled
}

// heartbeatDue reports whether the other nodes have seen no sign of life of the owner for
// heartbeatInterval.
func (ow *Owner) heartbeatDue(now time.Duration) bool {
	return now-time.Duration(ow.lastSeenAppend.Load()) > heartbeatInterval
}

// sendHeartbeat appends a heartbeat. It returns false if ctx ends, the append fails or the
// heartbeats have been ended.
func (ow *Owner) sendHeartbeat(ctx context.Context, self registry.Ownership) bool {
	select {
	case ow.heartbeatSlot <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-ow.heartbeatSlot }()
	return ow.store(ctx, []platform.Record{registry.OwnershipRecord(self)}) == nil
}

// endHeartbeats waits for the heartbeat in flight and lets none follow. It returns false
// if ctx ends first.
func (ow *Owner) endHeartbeats(ctx context.Context) bool {
	select {
	case ow.heartbeatSlot <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// decides reports whether a decision has ended within decisionTimeout.
func (ow *Owner) decides(now time.Duration) bool {
	return now-time.Duration(ow.lastDecisionEnd.Load()) < decisionTimeout
}
