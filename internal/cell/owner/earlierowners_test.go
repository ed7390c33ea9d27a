package owner

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
)

// succeedOwner lets the owner have claimed from an earlier one whose process ends at a time
// after the claim, so that the test decides when it is gone.
func (h *hostTest) succeedOwner(goneAfter time.Duration) {
	h.earlierOwners = earlierOwners{}
	h.options.EarlierOwnersGone = func() bool { return h.clock.now >= h.options.ClaimedAt+goneAfter }
	h.earlierOwners.checkGone(h.options.EarlierOwnersGone, h.clock.now)
	h.list(map[string]registry.Host{"h": {Spec: testHost("h", "a")}}, testHost("h", "a"))
	h.client.answers["a"] = doesNotAnswer
}

// pollUnanswered makes as many polls as show that the host is silent.
func (h *hostTest) pollUnanswered() {
	for range unreachableThreshold + 1 {
		h.pollOnce("h")
	}
}

// Guards against a task that is started again while it runs, or after it has ended as done:
// the successor cannot reach its host, the earlier owner could and renewed the lease there
// until its process ended, some seconds after the claim, and the successor counted the lease
// from the claim.
func TestLeasesRenewedAfterTheClaimAreWaitedFor(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		goneAfter := time.Duration(rapid.Int64Range(0, 6000).Draw(rt, "the earlier owner ends")) * time.Millisecond
		h := newHostTest(t)
		claimedAt := h.clock.now
		h.succeedOwner(goneAfter)
		lastRenewal := claimedAt + min(goneAfter, AuthorityDuration)
		leaseEnd := lastRenewal + LeaseDuration
		for h.clock.now < leaseEnd {
			h.pollOnce("h")
			h.withState(h.checkReconciled)
			if h.Reconciled() || h.poller("h").allRunsGone {
				rt.Fatalf("%s after the claim the runs on the host count as ended; its lease is valid until %s after it", h.clock.now-claimedAt, leaseEnd-claimedAt)
			}
			h.clock.now += time.Duration(rapid.Int64Range(10, 300).Draw(rt, "step")) * time.Millisecond
		}
		h.clock.now = lastRenewal + runsEndWithin(AuthorityDuration+LeaseDuration)
		h.pollUnanswered()
		h.withState(h.checkReconciled)
		if !h.Reconciled() {
			rt.Error("the runs on the host count as present for good")
		}
	})
}

// Guards against a wait of 4 s more than needed for the hosts that do not answer, if the
// earlier owner was known to be gone when the term began.
func TestOwnerGoneAtTheClaimIsNotWaitedFor(t *testing.T) {
	h := newHostTest(t)
	h.succeedOwner(0)
	h.clock.now = h.options.ClaimedAt + runsEndWithin(LeaseDuration) + time.Millisecond
	h.pollUnanswered()
	h.withState(h.checkReconciled)
	if !h.Reconciled() {
		t.Error("the lease counts from later than the claim")
	}
}
