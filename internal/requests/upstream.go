package requests

import (
	"context"
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/router"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// upstream is this node's state of one upstream.
type upstream struct {
	name string
	// wakeLeases is called when requests wait for slots.
	wakeLeases func()
	// wakeStatuses is called when the state of a slot becomes unknown.
	wakeStatuses func()

	mu           sync.Mutex
	table        *router.Table
	admission    *router.Admission
	budget       router.RetryBudget
	waiters      map[uint64]*waiter
	lastTicketID uint64
}

func newUpstream(name string, o router.Options, wakeLeases, wakeStatuses func()) *upstream {
	return &upstream{
		name: name, wakeLeases: wakeLeases, wakeStatuses: wakeStatuses, table: router.NewTable(o),
		admission: router.NewAdmission(o), waiters: map[uint64]*waiter{},
	}
}

// acquireSlot queues the call and waits for a slot. Its error is a *verdict.Error
// with the verdict DidNotRun.
func (u *upstream) acquireSlot(ctx context.Context, clock Clock, c *call, deadline time.Duration, exclude []string) (*slot, error) {
	u.mu.Lock()
	now := clock.Now()
	u.lastTicketID++
	w := &waiter{
		ticket: router.Ticket{
			ID: u.lastTicketID, Team: c.team.Name, Class: c.class, Deadline: deadline,
			Weight: c.team.Weight, Limit: c.team.MaxInFlight,
		},
		requestID: c.id, exclude: exclude, ready: make(chan *slot, 1),
	}
	if len(exclude) == 0 {
		u.budget.CountRequest()
	}
	heldSlots, _ := u.table.LeasedAndInUse(now)
	u.admission.SetCapacity(heldSlots)
	if refusal := u.admission.Enqueue(now, w.ticket); refusal != nil {
		u.mu.Unlock()
		return nil, admissionError(refusal)
	}
	u.waiters[w.ticket.ID] = w
	u.assignSlots(now)
	u.mu.Unlock()
	select {
	case s := <-w.ready:
		return u.slotOrTimeout(s)
	default:
	}
	select {
	case s := <-w.ready:
		return u.slotOrTimeout(s)
	case <-ctx.Done():
		return nil, u.cancelWait(clock.Now(), w)
	}
}

func (u *upstream) slotOrTimeout(s *slot) (*slot, error) {
	if s == nil {
		return nil, queueTimeout()
	}
	return s, nil
}

func queueTimeout() error {
	e := verdict.New(verdict.DidNotRun, CodeDeadlineInQueue, "no runner slot became free before the deadline")
	e.RetryAfterMillis = 1000
	return e
}

func admissionError(r *router.Refusal) error {
	e := verdict.New(verdict.DidNotRun, r.Code, "the request was refused before it was queued; the code gives the reason")
	e.RetryAfterMillis = max(r.RetryAfter.Milliseconds(), 10)
	return e
}

func (u *upstream) cancelWait(now time.Duration, w *waiter) error {
	u.mu.Lock()
	delete(u.waiters, w.ticket.ID)
	if u.admission.Cancel(w.ticket) {
		u.mu.Unlock()
		return queueTimeout()
	}
	u.mu.Unlock()
	// A slot was assigned, or the request was dropped, at the same moment. Nothing
	// was sent, so the slot is released as unused.
	if s := <-w.ready; s != nil {
		s.release(now, router.NotRun)
	}
	return queueTimeout()
}

// assignSlots assigns free slots to waiting requests. The caller holds u.mu.
func (u *upstream) assignSlots(now time.Duration) {
	for u.admission.Waiting() > 0 {
		free := u.table.Free(now)
		if free == 0 {
			break
		}
		ticket, ok := u.admission.Next(now, free)
		u.notifyDropped()
		if !ok {
			break
		}
		w := u.waiters[ticket.ID]
		delete(u.waiters, ticket.ID)
		pick, _ := u.table.Pick(now, w.requestID, w.exclude)
		w.ready <- &slot{up: u, ticket: ticket, pick: pick, acquiredAt: now}
	}
	u.table.SetWaiting(u.admission.Waiting())
	if u.admission.Waiting() > 0 {
		u.wakeLeases()
	}
}

// notifyDropped wakes the waiters whose requests were dropped. The caller holds
// u.mu.
func (u *upstream) notifyDropped() {
	for _, t := range u.admission.TakeDropped() {
		if w := u.waiters[t.ID]; w != nil {
			delete(u.waiters, t.ID)
			w.ready <- nil
		}
	}
}

func (u *upstream) releaseSlot(now time.Duration, s *slot, result router.Result) {
	u.mu.Lock()
	defer u.mu.Unlock()
	took := now - s.acquiredAt
	if s.answeredAt > 0 {
		u.table.RecordAnswer(s.answeredAt, s.pick.Runner.ID)
	}
	u.table.Done(now, s.pick, result, took)
	u.admission.Done(s.ticket, took, result == router.Answered || result == router.Failed)
	u.assignSlots(now)
	if result == router.Unknown || result == router.Abandoned {
		u.wakeStatuses()
	}
}

// takeRetry takes a retry from the retry budget, and returns false if there is
// none.
func (u *upstream) takeRetry() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.budget.Take()
}

// withTable calls f with the table, frees slots whose unknown state has expired,
// and assigns the free slots.
func (u *upstream) withTable(now time.Duration, f func(*router.Table)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	f(u.table)
	u.table.Expire(now)
	u.assignSlots(now)
}
