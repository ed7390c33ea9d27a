package owner

import (
	"context"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
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
	sendAll(t.Context(), h.Owner, h.stops, stops, h.stop)
	g.Eventually(client.inFlight.Load, "5s").Should(gomega.BeEquivalentTo(maxStopsInFlight))
	ended := make(chan bool, 1)
	go func() { ended <- h.stops.end(t.Context()) }()
	g.Eventually(func() bool { h.stops.mu.Lock(); defer h.stops.mu.Unlock(); return h.stops.closed }, "5s").Should(gomega.BeTrue())
	g.Expect(ended).NotTo(gomega.Receive())
	close(client.ended)
	g.Eventually(ended, "5s").Should(gomega.Receive(gomega.BeTrue()))
	sendAll(t.Context(), h.Owner, h.stops, stops, h.stop)
	h.goroutines.Wait()
	g.Expect(client.sent.Load()).To(gomega.BeEquivalentTo(maxStopsInFlight))
}

// Guards against an urgent start that waits behind the thousands of one wide submission.
func TestSubmissionsTakeTurnsInTheQueueOfOrders(t *testing.T) {
	q := newStartQueue()
	order := func(id string, index int) schedule.Start {
		return schedule.Start{Task: cell.TaskID{Submission: id, Index: index}}
	}
	var wide []schedule.Start
	for i := range 20_000 {
		wide = append(wide, order("wide", i))
	}
	if n := q.add(wide); n != maxStartsInFlight {
		t.Errorf("%d goroutines send orders, want %d", n, maxStartsInFlight)
	}
	q.add([]schedule.Start{order("urgent", 0), order("urgent", 1)})
	var got []string
	for range 5 {
		o, _ := q.next()
		got = append(got, o.Task.Submission+strconv.Itoa(o.Task.Index))
	}
	if want := []string{"wide0", "urgent0", "wide1", "urgent1", "wide2"}; !slices.Equal(got, want) {
		t.Errorf("orders are sent as %v, want %v", got, want)
	}
	if n := q.waitingCount(); n != 20_002-5 {
		t.Errorf("%d orders wait", n)
	}
}

// Guards against decisions, and with them the signs of life of the owner, that wait for
// starts on hosts that do not answer.
func TestDecisionsDoNotWaitForStarts(t *testing.T) {
	g := gomega.NewWithT(t)
	h := usedAt(t, "a")
	client := &silentStarts{HostClient: h.client, ended: make(chan struct{})}
	h.options.HostClient = client
	wide := &cell.Submission{ID: "wide", Queue: cell.Queue{Name: "q"}, Steps: []cell.Step{{Count: 3 * maxStartsInFlight}}}
	h.Submitted(registry.Entry{Submission: wide})
	h.withState(h.applyEvents)
	h.scheduler.SetStartRoom(3 * maxStartsInFlight)
	plan := h.scheduler.Decide(h.clock.now, 0)
	g.Expect(len(plan.Starts)).To(gomega.Equal(3 * maxStartsInFlight))
	decided := make(chan struct{})
	go func() {
		defer close(decided)
		h.execute(t.Context(), plan)
	}()
	g.Eventually(decided, "5s").Should(gomega.BeClosed())
	close(client.ended)
	h.goroutines.Wait()
}

// silentStarts is a client of hosts that leave start orders unanswered until the test ends.
type silentStarts struct {
	HostClient
	ended chan struct{}
}

func (c *silentStarts) Start(context.Context, *cell.Host, platform.Start) (int64, platform.Refusal, error) {
	<-c.ended
	return 0, platform.NotRefused, nil
}
