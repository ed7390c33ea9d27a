package node

import (
	"context"
	"sync"

	"github.com/medlarpulley/medlarpulley/internal/ledger"
)

// eventQueue passes ledger events from the log reader, which must not block, to
// the shards. Its length is bounded by the rate of the log: an event stays in
// the queue only while earlier events are being applied.
type eventQueue struct {
	mu     sync.Mutex
	events []ledger.Event
	wake   chan struct{}
}

func newEventQueue() *eventQueue { return &eventQueue{wake: make(chan struct{}, 1)} }

// put appends events and never blocks.
func (q *eventQueue) put(events []ledger.Event) {
	q.mu.Lock()
	q.events = append(q.events, events...)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// take waits for events and returns all queued ones. It returns ok false when
// ctx ends.
func (q *eventQueue) take(ctx context.Context) (events []ledger.Event, ok bool) {
	for {
		q.mu.Lock()
		events, q.events = q.events, nil
		q.mu.Unlock()
		if len(events) > 0 {
			return events, true
		}
		select {
		case <-ctx.Done():
			return nil, false
		case <-q.wake:
		}
	}
}
