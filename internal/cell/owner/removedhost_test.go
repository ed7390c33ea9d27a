package owner

import (
	"context"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/schedule"
	"github.com/medlarpulley/medlarpulley/platform"
)

// stopRecorder is a client that records the stop orders, of which the first ones get no
// answer.
type stopRecorder struct {
	*addressedHosts
	unanswered int
	stops      []schedule.Run
}

func (c *stopRecorder) Stop(ctx context.Context, h *cell.Host, task cell.TaskID, run, token int64) (int64, platform.Refusal, error) {
	c.stops = append(c.stops, schedule.Run{Task: task, Run: run})
	if c.unanswered > 0 {
		c.unanswered--
		return 0, 0, doesNotAnswer.err
	}
	return c.addressedHosts.Stop(ctx, h, task, run, token)
}

// removeSilentHost lets a host be silent until its leases have expired, and removes it.
func (h *hostTest) removeSilentHost(address string) {
	p := h.poller("h")
	h.client.answers[address] = doesNotAnswer
	h.list(nil)
	for !h.removeIfGone(p) {
		h.clock.now += 500 * time.Millisecond
		h.pollOnce("h")
		if h.clock.now > 2*time.Hour {
			h.t.Fatal("the host is not removed")
		}
	}
}

// Guards against a task that runs twice: its start order got no answer, its host was removed
// and came back, and the order was carried out there, while the task ran elsewhere.
func TestLateStartIsStoppedOnAHostThatWasRemoved(t *testing.T) {
	for name, c := range map[string]struct {
		address    string
		unanswered int
	}{
		"at its address":                       {"a", 0},
		"at another address":                   {"b", 0},
		"the first stop orders get no answers": {"a", 2},
	} {
		t.Run(name, func(t *testing.T) {
			h := usedAt(t, "a")
			client := &stopRecorder{addressedHosts: h.client, unanswered: c.unanswered}
			h.options.HostClient, h.options.MaxLease = client, testMaxLease
			former := answersAs(10)
			former.report.ClockMs = time.Hour.Milliseconds()
			h.client.answers["a"] = former
			h.pollOnce("h")
			h.submit("late")
			h.client.answers["a"] = doesNotAnswer
			h.decideOnce() // the order gets no answer
			sentAt := h.clock.now
			h.removeSilentHost("a")
			if h.clock.now > sentAt+maxOrderDelay {
				t.Fatalf("the host is removed %s after the order, too late for the test", h.clock.now-sentAt)
			}
			client.stops = nil
			h.client.answers[c.address] = answersAs(20)
			h.list(nil, testHost("h", c.address))
			h.pollOnce("h")
			want := schedule.Run{Task: cell.TaskID{Submission: "late"}, Run: 1001}
			for range 1 + c.unanswered {
				h.decideOnce()
			}
			if n := len(client.stops); n != 1+c.unanswered || client.stops[n-1] != want {
				t.Errorf("stop orders %v, want %d for %v", client.stops, 1+c.unanswered, want)
			}
			if end := h.poller("h").life.lease.expiry(); end < sentAt+maxOrderDelay {
				t.Errorf("the lease counts as expired %s after the order, which may be carried out until %s after it", end-sentAt, maxOrderDelay)
			}
		})
	}
}

// Guards against start orders that are kept for ever.
func TestOldStartOrdersToRemovedHostsAreForgotten(t *testing.T) {
	h := usedAt(t, "a")
	h.pollOnce("h")
	h.submit("late")
	h.client.answers["a"] = doesNotAnswer
	h.decideOnce()
	h.removeSilentHost("a")
	h.list(nil)
	if len(h.callsToHosts) != 1 {
		t.Fatal("the order is forgotten while it may be carried out")
	}
	h.clock.now += maxOrderDelay + orderTimeout
	h.list(nil)
	if len(h.callsToHosts) != 0 {
		t.Errorf("%d hosts have orders after %s", len(h.callsToHosts), maxOrderDelay)
	}
}
