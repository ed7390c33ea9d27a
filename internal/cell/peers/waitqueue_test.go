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

// waitTime returns how long it takes until n requests wait at a pool whose endpoints
// are all busy, and are given up.
func waitTime(n int) time.Duration {
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
	begun := time.Now()
	for i := range n {
		go func() { _, _ = pool.Ask(ctx, advice.Call{Hosts: []string{"h"}, Duration: time.Minute}, i%3) }()
	}
	waitFor := func(waiting int) {
		for pool.Waiting() != waiting {
			time.Sleep(100 * time.Microsecond)
		}
	}
	waitFor(n)
	cancel()
	waitFor(0)
	return time.Since(begun)
}

// Guards against an owner that spends all of its processor time on the advice requests
// that wait: each of them was compared with each endpoint whenever another one arrived.
func TestCostOfWaitingRequestsIsNotQuadratic(t *testing.T) {
	const few, factor = 300, 16
	short, long := time.Hour, time.Hour
	for range 3 {
		short, long = min(short, waitTime(few)), min(long, waitTime(few*factor))
	}
	t.Logf("%d requests take %s, %d of them %s", few, short, few*factor, long)
	if limit := short * factor * 4; long > limit {
		t.Errorf("%d requests take %s, %d of them %s, want at most %s", few, short, few*factor, long, limit)
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
