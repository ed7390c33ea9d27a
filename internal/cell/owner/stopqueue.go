package owner

import (
	"context"
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/schedule"
	"github.com/medlarpulley/medlarpulley/internal/ctxtime"
)

const (
	// maxStopsInFlight bounds the stop orders that are sent and not answered. They are not
	// counted with the starts, which would wait behind stops on silent hosts.
	maxStopsInFlight = 512
	// stopsEndedCheckInterval is the time between two checks whether all stops have ended.
	stopsEndedCheckInterval = 5 * time.Millisecond
)

// stopQueue holds the stop orders that wait for others to be answered. Each run has one at
// most.
type stopQueue struct {
	mu      sync.Mutex
	waiting []schedule.Stop
	// senders is the number of goroutines that send stops.
	senders int
	closed  bool
}

// add adds stops and returns how many more goroutines have to send them.
func (q *stopQueue) add(stops []schedule.Stop) (senders int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return 0
	}
	q.waiting = append(q.waiting, stops...)
	senders = min(len(q.waiting), maxStopsInFlight-q.senders)
	q.senders += senders
	return senders
}

// next returns the next stop to send. ok is false if there is none: the sender ends.
func (q *stopQueue) next() (s schedule.Stop, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		q.senders--
		return s, false
	}
	s, q.waiting = q.waiting[0], q.waiting[1:]
	return s, true
}

// close drops the waiting stops and lets no other one be added.
func (q *stopQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting, q.closed = nil, true
}

func (q *stopQueue) isIdle() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.senders == 0
}

// sendStops sends stop orders. It does not wait: decisions would wait for hosts that do not
// answer.
func (ow *Owner) sendStops(ctx context.Context, stops []schedule.Stop) {
	for range ow.stops.add(stops) {
		ow.runGuarded(func() {
			for {
				s, ok := ow.stops.next()
				if !ok {
					return
				}
				if ctx.Err() != nil {
					continue // the term has ended
				}
				ow.stop(ctx, s)
				ow.requestDecision()
			}
		})
	}
}

// endStops waits for the stops in flight and lets none follow. It returns false if ctx ends
// first.
func (ow *Owner) endStops(ctx context.Context) bool {
	ow.stops.close()
	for !ow.stops.isIdle() {
		if ctx.Err() != nil {
			return false
		}
		ctxtime.Sleep(ctx, stopsEndedCheckInterval)
	}
	return true
}
