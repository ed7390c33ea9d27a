package owner

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/schedule"
	"github.com/medlarpulley/medlarpulley/platform"
)

// pausedClock is the clock of a process that is paused right after one of its readings.
type pausedClock struct {
	*stepClock
	readings, pausedAfter int
}

func (c *pausedClock) Now() time.Duration {
	now := c.stepClock.now
	if c.readings++; c.readings == c.pausedAfter {
		c.stepClock.now += AuthorityDuration
	}
	return now
}

// leaseRecorder is a client of hosts that records the latest end of a lease in a call, and ends
// the poll loop after one poll.
type leaseRecorder struct {
	*addressedHosts
	endPolls context.CancelFunc
	latest   time.Duration
}

func (c *leaseRecorder) Poll(ctx context.Context, h *cell.Host, o platform.Poll) (cell.HostReport, int, platform.Refusal, error) {
	c.latest = max(c.latest, time.Duration(o.LeaseEndMs)*time.Millisecond)
	c.endPolls()
	return c.addressedHosts.Poll(ctx, h, o)
}

func (c *leaseRecorder) Start(ctx context.Context, h *cell.Host, o platform.Start) (int64, platform.Refusal, error) {
	c.latest = max(c.latest, time.Duration(o.LeaseEndMs)*time.Millisecond)
	return c.addressedHosts.Start(ctx, h, o)
}

// planStart returns the planned start of a new task.
func (h *hostTest) planStart(id string) schedule.Start {
	h.submit(id)
	plan := h.scheduler.Decide(h.clock.now, 0)
	if len(plan.Starts) != 1 {
		h.t.Fatalf("%d starts, want 1", len(plan.Starts))
	}
	return plan.Starts[0]
}

// Guards against a task that runs twice, since a pause after the check of the authority made a lease outlast it.
func TestPauseExtendsNoLeaseBeyondTheAuthority(t *testing.T) {
	for name, call := range map[string]func(ctx context.Context, h *hostTest, s schedule.Start){
		"start": func(ctx context.Context, h *hostTest, s schedule.Start) { h.start(ctx, s) },
		"poll":  func(ctx context.Context, h *hostTest, _ schedule.Start) { h.pollLoop(ctx, h.poller("h")) },
	} {
		for pausedAfter := 1; pausedAfter <= 4; pausedAfter++ {
			t.Run(fmt.Sprintf("%s, paused after reading %d", name, pausedAfter), func(t *testing.T) {
				h := usedAt(t, "a")
				h.pollOnce("h")
				s := h.planStart("job")
				authorityEnd := h.clock.now + AuthorityDuration
				lease := &h.poller("h").life.lease
				latest := lease.hostClock + (authorityEnd - lease.receivedAt) + LeaseDuration
				h.clock.now = authorityEnd - time.Second
				clock := &pausedClock{stepClock: h.clock, pausedAfter: pausedAfter}
				ctx, cancel := context.WithCancel(t.Context())
				client := &leaseRecorder{addressedHosts: h.client, endPolls: cancel}
				h.options.Clock, h.authority.clock, h.options.HostClient = clock, clock, client
				call(ctx, h, s)
				if client.latest == 0 || client.latest > latest {
					t.Errorf("the call carries a lease until %s on the host's clock, want one until %s at most", client.latest, latest)
				}
			})
		}
	}
}

// Guards against a task that runs twice, since its start order waited for a lock beyond the end of the authority.
func TestStartThatWaitedBeyondTheAuthorityGetsNoLease(t *testing.T) {
	h := usedAt(t, "a")
	h.pollOnce("h")
	s := h.planStart("job")
	h.clock.now += AuthorityDuration
	p := h.poller("h")
	if _, sent, _ := h.startTarget(p, s); sent != nil || len(p.calls.list) > 0 {
		t.Errorf("a lease is granted without authority: %+v, calls that may be carried out: %d", sent, len(p.calls.list))
	}
}
