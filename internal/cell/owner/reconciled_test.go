package owner

import (
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
)

// succeedWithClosedHost lets the owner have claimed from an earlier one that had closed its only
// host with a run there.
func (h *hostTest) succeedWithClosedHost(gone bool) {
	h.earlierOwners = earlierOwners{}
	h.options.EarlierOwnersGone = func() bool { return gone }
	closed := registry.Host{Spec: testHost("h", "a"), Closed: true, Runs: []registry.Run{{Task: cell.TaskID{Submission: "job"}, Run: 1}}}
	h.list(map[string]registry.Host{"h": closed}, testHost("h", "a"))
	h.client.answers["a"] = doesNotAnswer
}

// tellsReconciled reports what the next heartbeat, and a release of the ownership, tell a successor
// after a decision.
func (h *hostTest) tellsReconciled() bool {
	h.t.Helper()
	h.plan()
	next, _ := h.nextHeartbeat(h.options.Self, h.clock.now)
	if released := h.ReleasedOwnership(); !released.Released || released.Reconciled != next.Reconciled {
		h.t.Fatalf("the heartbeat is %+v, the release %+v", next, released)
	}
	return next.Reconciled
}

// Guards against a task that runs twice: an owner published that its successor need not consider
// earlier owners, while one of them renewed the lease of a host that it had closed with a run.
func TestOwnerBeforeThePreviousOneIsWaitedFor(t *testing.T) {
	h := newHostTest(t)
	h.succeedWithClosedHost(false)
	for ; h.clock.now <= h.options.ClaimedAt+AuthorityDuration; h.clock.now += 100 * time.Millisecond {
		h.pollOnce("h")
		if h.tellsReconciled() {
			t.Fatalf("%s after the claim the earlier owners do not count any more; they may act for %s", h.clock.now-h.options.ClaimedAt, AuthorityDuration)
		}
		if !h.Reconciled() {
			t.Fatal("the term waits for the run that the record of the host names")
		}
	}
	h.clock.now = h.options.ClaimedAt + runsEndWithin(AuthorityDuration) + time.Millisecond
	if !h.tellsReconciled() {
		t.Error("the earlier owners count for good")
	}
}

// Guards against a successor that waits for owners which are known to be gone.
func TestOwnersKnownToBeGoneEndAtOnce(t *testing.T) {
	h := newHostTest(t)
	h.succeedWithClosedHost(true)
	if !h.tellsReconciled() {
		t.Error("the earlier owners count although they are gone")
	}
}
