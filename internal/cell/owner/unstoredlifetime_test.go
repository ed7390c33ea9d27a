package owner

import (
	"testing"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
)

// restartedHost returns an owner whose host "h" is used, and has just reported another lifetime.
func restartedHost(t *testing.T) *hostTest {
	h := usedAt(t, "a")
	h.pollOnce("h")
	h.client.answers["a"] = hostAnswer{report: cell.HostReport{StartedMs: 20}}
	return h
}

// Guards against a task that runs twice, since a former owner starts it on a host that has
// forgotten the fencing token of its successor with a restart.
func TestNothingStartsInALifetimeThatTheLogLacks(t *testing.T) {
	h := restartedHost(t)
	h.submit("job")
	h.pollOnce("h")
	if got := h.decideOnce(); len(got) > 0 {
		t.Fatalf("a task starts at %v before an append after the restart is accepted", got)
	}
	h.storeHosts()
	if got := h.decideOnce(); len(got) != 1 {
		t.Errorf("%d starts once the lifetime is stored, want 1", len(got))
	}
}

// Guards against the same for an order that was planned before the restart was heard of.
func TestOrderPlannedBeforeARestartIsNotSent(t *testing.T) {
	h := restartedHost(t)
	s := h.planStart("job")
	before := len(h.client.started)
	h.pollOnce("h")
	h.start(t.Context(), s)
	if got := h.client.started[before:]; len(got) > 0 {
		t.Errorf("the order is sent to %v, in a lifetime that the log lacks", got)
	}
}

// Guards against a host that is opened by a record which was written before its restart.
func TestRecordWrittenBeforeARestartOpensNoHost(t *testing.T) {
	h := restartedHost(t)
	h.submit("job")
	h.poller("h").storedLifetime = registry.NoLifetime // a record of the host is due
	_, before := h.hostRecords()
	if len(before) != 1 {
		t.Fatalf("%d records of hosts are due, want 1", len(before))
	}
	h.pollOnce("h")
	h.hostRecordsStored(before)
	if got := h.decideOnce(); len(got) > 0 {
		t.Errorf("a task starts at %v by a record from before the restart", got)
	}
}
