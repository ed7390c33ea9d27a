package owner

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/schedule"
	"github.com/medlarpulley/medlarpulley/platform"
)

// silentStops is a client of hosts that leave stop orders unanswered until the test ends.
type silentStops struct {
	HostClient
	inFlight, sent, most atomic.Int64
	ended                chan struct{}
}

func (c *silentStops) Stop(context.Context, *cell.Host, cell.TaskID, int64, int64) (int64, platform.Refusal, error) {
	c.sent.Add(1)
	n := c.inFlight.Add(1)
	defer c.inFlight.Add(-1)
	for old := c.most.Load(); n > old && !c.most.CompareAndSwap(old, n); old = c.most.Load() {
	}
	<-c.ended
	return 0, platform.NotRefused, nil
}

// Guards against decisions, and with them starts and the signs of life of the owner, that
// wait for stops on hosts that do not answer.
func TestDecisionsDoNotWaitForStops(t *testing.T) {
	g := gomega.NewWithT(t)
	h := usedAt(t, "a")
	h.pollOnce("h")
	client := &silentStops{HostClient: h.client, ended: make(chan struct{})}
	h.options.HostClient = client
	plan := &schedule.Plan{}
	for i := range 3 * maxStopsInFlight {
		plan.Stops = append(plan.Stops, schedule.Stop{Task: cell.TaskID{Submission: "first", Index: i}, Run: 1, Host: "h"})
	}
	decided := make(chan struct{})
	go func() {
		defer close(decided)
		h.execute(t.Context(), plan)
		h.submit("second")
		h.execute(t.Context(), h.scheduler.Decide(h.clock.now, 0))
	}()
	g.Eventually(decided, "5s").Should(gomega.BeClosed())
	g.Eventually(func() int {
		h.client.mu.Lock()
		defer h.client.mu.Unlock()
		return len(h.client.started)
	}, "5s").Should(gomega.Equal(2), "starts")
	close(client.ended)
	h.goroutines.Wait()
	g.Expect(client.sent.Load()).To(gomega.BeEquivalentTo(len(plan.Stops)))
	g.Expect(client.most.Load()).To(gomega.BeNumerically("<=", maxStopsInFlight))
}

// Guards against a term that ends gracefully while a stop order is in flight, or before
// others.
func TestStoppedOwnerSendsNoStop(t *testing.T) {
	g := gomega.NewWithT(t)
	h := usedAt(t, "a")
	client := &silentStops{HostClient: h.client, ended: make(chan struct{})}
	h.options.HostClient = client
	stops := make([]schedule.Stop, 2*maxStopsInFlight)
	for i := range stops {
		stops[i] = schedule.Stop{Task: cell.TaskID{Submission: "first", Index: i}, Run: 1, Host: "h"}
	}
	h.sendStops(t.Context(), stops)
	g.Eventually(client.inFlight.Load, "5s").Should(gomega.BeEquivalentTo(maxStopsInFlight))
	ended := make(chan bool, 1)
	go func() { ended <- h.endStops(t.Context()) }()
	g.Eventually(func() bool { h.stops.mu.Lock(); defer h.stops.mu.Unlock(); return h.stops.closed }, "5s").Should(gomega.BeTrue())
	g.Expect(ended).NotTo(gomega.Receive())
	close(client.ended)
	g.Eventually(ended, "5s").Should(gomega.Receive(gomega.BeTrue()))
	h.sendStops(t.Context(), stops)
	h.goroutines.Wait()
	g.Expect(client.sent.Load()).To(gomega.BeEquivalentTo(maxStopsInFlight))
}
