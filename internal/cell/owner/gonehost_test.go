package owner

import "testing"

// Guards against a task that runs twice, since its host was seen as empty before its start and recorded as empty after it.
func TestRunStartedSinceTheLeasesExpiredIsNotTakenForGone(t *testing.T) {
	h := usedAt(t, "a")
	h.pollOnce("h")
	p, s := h.poller("h"), h.planStart("job")
	h.clock.now += 2 * runsEndWithin(LeaseDuration)
	h.authority.extend(h.clock.now)
	now := h.clock.now // of a poll that failed
	if now <= h.runsEndBy(p) {
		t.Fatal("the leases have not expired")
	}
	h.client.started = nil
	h.start(t.Context(), s)
	if len(h.client.started) != 1 {
		t.Fatalf("%d starts, want 1", len(h.client.started))
	}
	h.recordAllRunsGone(p, now)
	if h.running("h") == 0 || p.allRunsGone {
		t.Error("the run that the host has just started is taken for gone")
	}
}

// Guards against a task that runs twice, since its run was given up right after the check of its start order.
func TestRunGivenUpBeforeItsGrantGetsNoLease(t *testing.T) {
	h := usedAt(t, "a")
	h.pollOnce("h")
	p, s := h.poller("h"), h.planStart("job")
	if !h.scheduler.AwaitsStart(s) {
		t.Fatal("the start is not awaited")
	}
	h.scheduler.MarkAllRunsGone("h", h.clock.now)
	if _, sent, _ := h.startTarget(p, s); sent != nil || len(p.calls.list) > 0 {
		t.Errorf("a lease is granted to a run that was given up: %+v, calls that may be carried out: %d", sent, len(p.calls.list))
	}
}
