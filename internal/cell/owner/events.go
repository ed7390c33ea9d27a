package owner

import (
	"sync"

	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
)

// event is a change that was read from the log: a submission, or the cancellation of
// one if its entry has no submission.
type event struct {
	entry       registry.Entry
	cancelledID string
}

// eventQueue holds the changes since the last decision, in the order of the log. The
// goroutine that reads the log never waits for the owner. The queue holds no more than a
// reference for each submission or cancellation since the last decision.
type eventQueue struct {
	mu   sync.Mutex
	list []event
}

func (q *eventQueue) add(e event) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.list = append(q.list, e)
}

// take returns the events and removes them.
func (q *eventQueue) take() []event {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := q.list
	q.list = nil
	return list
}

// Submitted implements registry.Listener. It does not wait for the owner.
func (ow *Owner) Submitted(e registry.Entry) {
	ow.events.add(event{entry: e})
	ow.requestDecision()
}

// CancelRequested implements registry.Listener. It does not wait for the owner.
func (ow *Owner) CancelRequested(id string) {
	ow.events.add(event{cancelledID: id})
	ow.requestDecision()
}

// applyEvents passes the changes that were read since the last decision to the
// scheduler. The caller holds ow.mu.
func (ow *Owner) applyEvents() {
	now, wall := ow.options.Clock.Now(), ow.options.WallClock()
	for _, e := range ow.events.take() {
		if e.entry.Submission == nil {
			ow.scheduler.Cancel(e.cancelledID, now)
		} else {
			ow.add(e.entry, now, wall)
		}
	}
}
