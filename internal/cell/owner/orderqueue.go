package owner

import (
	"context"
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/schedule"
	"github.com/medlarpulley/medlarpulley/internal/ctxtime"
)

const (
	// maxStartsInFlight and maxStopsInFlight bound the orders that are sent and not
	// answered. Stops are not counted with the starts, which would wait behind stops on
	// silent hosts.
	maxStartsInFlight = 512
	maxStopsInFlight  = 512
	// maxWaitingStarts is the number of starts that wait to be sent from which no more are
	// planned, so that urgent work does not wait behind them. Gangs start whole.
	maxWaitingStarts = 512
	// ordersEndedCheckInterval is the time between two checks whether all orders have ended.
	ordersEndedCheckInterval = 5 * time.Millisecond
)

// orderQueue holds the orders of one kind that wait for others to be answered. Submissions
// take turns, so that one with many orders does not hold up the others; the members of a gang
// have one turn. Each run has one order of a kind at most.
type orderQueue[T any] struct {
	// maxInFlight bounds the goroutines that send orders.
	maxInFlight int
	submission  func(T) string
	// together reports whether an order has to be sent right after the one before it: members
	// of a gang wait for each other on their hosts, and only for a time. It is nil if none has.
	together func(before, o T) bool

	mu sync.Mutex
	// waiting holds the orders of each submission that has some, turns the submissions in
	// the order of their turns.
	waiting map[string][]T
	turns   []string
	// count is the number of waiting orders, senders that of the goroutines that send them.
	count, senders int
	closed         bool
}

func newStartQueue() *orderQueue[schedule.Start] {
	return &orderQueue[schedule.Start]{
		maxInFlight: maxStartsInFlight, submission: func(s schedule.Start) string { return s.Task.Submission }, waiting: make(map[string][]schedule.Start), together: schedule.Start.SameGang,
	}
}

func newStopQueue() *orderQueue[schedule.Stop] {
	return &orderQueue[schedule.Stop]{
		maxInFlight: maxStopsInFlight, submission: func(s schedule.Stop) string { return s.Task.Submission }, waiting: make(map[string][]schedule.Stop),
	}
}

// add adds orders and returns how many more goroutines have to send them.
func (q *orderQueue[T]) add(orders []T) (senders int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return 0
	}
	for _, o := range orders {
		id := q.submission(o)
		if len(q.waiting[id]) == 0 {
			q.turns = append(q.turns, id)
		}
		q.waiting[id] = append(q.waiting[id], o)
	}
	q.count += len(orders)
	senders = max(min(q.count, q.maxInFlight-q.senders), 0)
	q.senders += senders
	return senders
}

// next returns the next order to send. ok is false if there is none: the sender ends.
func (q *orderQueue[T]) next() (o T, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.turns) == 0 {
		q.senders--
		return o, false
	}
	id := q.turns[0]
	list := q.waiting[id]
	o = list[0]
	switch {
	case len(list) == 1:
		delete(q.waiting, id)
		q.turns = q.turns[1:]
	case q.together != nil && q.together(o, list[1]):
		q.waiting[id] = list[1:]
	default:
		q.waiting[id] = list[1:]
		q.turns = append(q.turns[1:], id)
	}
	q.count--
	return o, true
}

// waitingCount returns how many orders wait to be sent.
func (q *orderQueue[T]) waitingCount() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.count
}

// close drops the waiting orders and lets no other one be added.
func (q *orderQueue[T]) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	clear(q.waiting)
	q.turns, q.count, q.closed = nil, 0, true
}

func (q *orderQueue[T]) isIdle() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.senders == 0
}

// end waits for the orders in flight and lets none follow. It returns false if ctx ends
// first.
func (q *orderQueue[T]) end(ctx context.Context) bool {
	q.close()
	for !q.isIdle() {
		if ctx.Err() != nil {
			return false
		}
		ctxtime.Sleep(ctx, ordersEndedCheckInterval)
	}
	return true
}

// sendAll sends orders in goroutines of the owner. It does not wait: decisions would wait for
// hosts that do not answer.
func sendAll[T any](ctx context.Context, ow *Owner, q *orderQueue[T], orders []T, send func(context.Context, T)) {
	for range q.add(orders) {
		ow.runGuarded(func() {
			for {
				o, ok := q.next()
				if !ok {
					return
				}
				if ctx.Err() != nil {
					continue // the term has ended
				}
				send(ctx, o)
				ow.requestDecision()
			}
		})
	}
}
