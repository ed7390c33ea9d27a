package owner

import (
	"errors"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/platform"
)

func answersAs(startedMs int64) hostAnswer {
	return hostAnswer{report: cell.HostReport{StartedMs: startedMs, ClockMs: 1000}}
}

var (
	refusesConnections = hostAnswer{err: fmt.Errorf("poll: %w", syscall.ECONNREFUSED)}
	doesNotAnswer      = hostAnswer{err: errors.New("no answer")}
	isAnotherInstance  = hostAnswer{refusal: platform.RefusedHostRestarted}
)

// usedAt is a host in use at an address, with a run.
func usedAt(t *testing.T, address string) *hostTest {
	h := newHostTest(t)
	spec := testHost("h", address)
	h.client.answers[address] = answersAs(10)
	h.list(map[string]registry.Host{"h": {Spec: spec}}, spec)
	h.log.Apply(registry.HostRecord(registry.Host{Spec: spec}))
	h.pollOnce("h")
	h.submit("first")
	if got := h.decideOnce(); len(got) != 1 || got[0] != address {
		t.Fatalf("starts at %v, want one at %s", got, address)
	}
	return h
}

// running returns how many runs the scheduler knows on a host.
func (h *hostTest) running(id string) int {
	for _, d := range h.Dump().Cell.Hosts {
		if d.ID == id {
			return d.Runs
		}
	}
	return -1
}

// startsAt submits a task and returns the addresses to which starts are sent in some
// rounds of polls, decisions and appends. A start at an address that the log does not
// have is an error.
func (h *hostTest) startsAt() (out []string) {
	h.submit(fmt.Sprint("job", len(h.client.polled)))
	for range 20 {
		h.pollOnce("h")
		for _, address := range h.decideOnce() {
			if stored := h.log.Hosts()["h"]; stored.Spec.Address != address || stored.Closed {
				h.t.Errorf("a task is started at %s while the log has the record %+v", address, stored)
			}
			out = append(out, address)
		}
		h.storeHosts()
	}
	return out
}

// Guards against a host that comes back under its ID at another address and is polled at
// the former one for the whole term.
func TestHostIsUsedAtItsNewAddress(t *testing.T) {
	for _, c := range []struct {
		name   string
		former hostAnswer
	}{
		{"the former address refuses connections", refusesConnections},
		{"the former address does not answer", doesNotAnswer},
		{"another host has the former address", isAnotherInstance},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := usedAt(t, "a")
			h.client.answers["a"], h.client.answers["b"] = c.former, answersAs(20)
			h.list(nil, testHost("h", "b"))
			got := h.startsAt()
			if len(got) == 0 {
				t.Fatalf("no start in 20 rounds; polls at %v", h.client.polled)
			}
			for _, address := range got {
				if address != "b" {
					t.Errorf("a start is sent to the former address")
				}
			}
			if stored := h.log.Hosts()["h"]; stored.Spec.Address != "b" {
				t.Errorf("the log has the record %+v", stored)
			}
		})
	}
}

// Guards against running work that is given up or started again since the entry of its
// host names another address for a while.
func TestOddAddressDoesNotDisturbHost(t *testing.T) {
	for _, odd := range []hostAnswer{refusesConnections, doesNotAnswer, isAnotherInstance, answersAs(5)} {
		h := usedAt(t, "a")
		h.client.answers["x"] = odd
		h.list(nil, testHost("h", "x"))
		if got := h.startsAt(); len(got) != 1 || got[0] != "a" {
			t.Errorf("odd address answers %+v: starts at %v, want one at a", odd, got)
		}
		if h.running("h") < 1 {
			t.Errorf("odd address answers %+v: the run counts as gone", odd)
		}
		h.client.answers["a"] = doesNotAnswer // for a moment
		for range 3 {
			h.pollOnce("h")
		}
		if h.running("h") < 1 {
			t.Errorf("odd address answers %+v: the run counts as gone while its lease may be valid", odd)
		}
	}
}

// Guards against a new owner that polls an odd address for its whole term, since another
// writer had changed the entry of a host at the moment of the takeover, and that takes the
// answer of another host there for a restart.
func TestOddAddressAtTakeover(t *testing.T) {
	for _, odd := range []hostAnswer{refusesConnections, doesNotAnswer, isAnotherInstance} {
		h := newHostTest(t)
		task := cell.TaskID{Submission: "first"}
		running := cell.HostReport{StartedMs: 10, ClockMs: 1000, Running: []cell.Running{{Task: task, Run: 7}}}
		h.client.answers["a"], h.client.answers["x"] = hostAnswer{report: running}, odd
		h.submit("first")
		h.list(map[string]registry.Host{"h": {Spec: testHost("h", "a")}}, testHost("h", "x"))
		h.pollOnce("h")
		if got := h.decideOnce(); len(got) > 0 {
			t.Errorf("odd address answers %+v: a task that runs is started again", odd)
		}
		h.pollOnce("h")
		if got := h.running("h"); got != 1 {
			t.Errorf("odd address answers %+v: %d runs are known, want 1", odd, got)
		}
	}
}

// Guards against runs that count as gone since neither the former nor the listed address
// belongs to their host, and against ones that count for ever.
func TestRunsEndWithTheirLeasesIfNoAddressAnswers(t *testing.T) {
	h := usedAt(t, "a")
	h.client.answers["a"], h.client.answers["x"] = isAnotherInstance, isAnotherInstance
	h.list(nil, testHost("h", "x"))
	for range 6 {
		h.pollOnce("h")
	}
	if h.running("h") != 1 {
		t.Fatal("the run counts as gone while its lease may be valid")
	}
	h.clock.now = h.poller("h").life.lease.expiry() + time.Millisecond
	h.pollOnce("h")
	if h.running("h") != 0 {
		t.Error("the run counts although its lease has certainly expired")
	}
}

// Guards against a start at a new address of which the log has no record yet, since a record
// with the former address was on its way.
func TestRecordOfFormerAddressOpensNoHost(t *testing.T) {
	h := newHostTest(t)
	h.client.answers["a"], h.client.answers["b"] = answersAs(10), answersAs(20)
	h.list(nil, testHost("h", "a"))
	h.pollOnce("h")
	_, changes := h.hostRecords()
	h.client.answers["a"] = refusesConnections
	h.list(nil, testHost("h", "b"))
	for range 3 {
		h.pollOnce("h")
	}
	h.hostRecordsStored(changes)
	h.submit("job")
	if got := h.decideOnce(); len(got) > 0 {
		t.Errorf("starts at %v while the log has the host at a", got)
	}
	h.storeHosts()
	if got := h.decideOnce(); len(got) != 1 || got[0] != "b" {
		t.Errorf("starts at %v once the log has the host at b", got)
	}
}
