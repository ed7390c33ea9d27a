package peers

import (
	"context"
	"log/slog"
	"strconv"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/boottime"
	"github.com/medlarpulley/medlarpulley/internal/cell/advice"
)

// Guards against an owner that spends all of its processor time on the advice requests
// that wait: each of them was compared with each endpoint whenever another one arrived.
func TestCostOfWaitingRequestsIsNotQuadratic(t *testing.T) {
	const requests = 4800
	busy := newFakePeer()
	pool := NewPool(boottime.Clock{}, slog.New(slog.DiscardHandler), "self", busy)
	for i := range 41 {
		pool.endpoints = append(pool.endpoints, &endpoint{name: strconv.Itoa(i), local: busy})
	}
	for _, e := range pool.endpoints {
		e.longInFlight = 1
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range requests {
		go func() { _, _ = pool.Ask(ctx, advice.Call{Hosts: []string{"h"}, Duration: time.Minute}, i%3) }()
	}
	waitFor := func(waiting int) {
		for pool.Waiting() != waiting {
			time.Sleep(100 * time.Microsecond)
		}
	}
	waitFor(requests)
	cancel()
	waitFor(0)
	pool.mu.Lock()
	defer pool.mu.Unlock()
	// One search for each kind of call when a request arrives, and when it is given up.
	if limit := 4 * requests; pool.searches > limit {
		t.Errorf("%d requests that wait need %d searches of the endpoints, want at most %d", requests, pool.searches, limit)
	}
}

// Guards against requests that are served in another order than that of their priority
// and arrival.
func TestWaitQueueOrder(t *testing.T) {
	var q waitQueue
	list := []*waiter{{priority: 2, arrival: 1}, {priority: 0, arrival: 2}, {priority: 2, arrival: 3}, {priority: 0, arrival: 4}, {priority: 1, arrival: 5}}
	for _, w := range list {
		q.push(w)
	}
	if !q.remove(list[4]) || q.remove(list[4]) {
		t.Error("a waiter is not removed exactly once")
	}
	for _, want := range []int{1, 3, 0, 2} {
		if w := q.first(); w != list[want] {
			t.Errorf("the next waiter has priority %d and arrival %d, want number %d", w.priority, w.arrival, want)
		}
		q.remove(q.first())
	}
}
