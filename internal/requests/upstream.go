package requests

import (
	"context"
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/router"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// upstream is the shard of state of one upstream on this node.
type upstream struct {
	name string
	// kick is told that requests wait for slots.
	kick func()
	// doubt is told that a slot is in an unknown state.
	doubt func()

	mu        sync.Mutex
	table     *router.Table
	admission *router.Admission
	budget    router.RetryBudget
	waiters   map[uint64]*waiter
	next      uint64
}

func newUpstream(name string, o router.Options, kick, doubt func()) *upstream {
	return &upstream{
		name: name, kick: kick, doubt: doubt, table: router.NewTable(o),
		admission: router.NewAdmission(o), waiters: map[uint64]*waiter{},
	}
}

// enter waits for a slot. The error is a *verdict.Error, did not run.
func (u *upstream) enter(ctx context.Context, clock Clock, c *call, deadline time.Duration, exclude []string) (*slot, error) {
	u.mu.Lock()
	now := clock.Now()
	u.next++
	w := &waiter{
		ticket: router.Ticket{
			ID: u.next, Team: c.team.Name, Class: c.class, Deadline: deadline,
			Weight: c.team.Weight, Limit: c.team.MaxInFlight,
		},
		id: c.id, exclude: exclude, ready: make(chan *slot, 1),
	}
	if len(exclude) == 0 {
		u.budget.Request()
	}
	held, _ := u.table.Held(now)
	u.admission.SetCapacity(held)
	if refusal := u.admission.Offer(now, w.ticket); refusal != nil {
		u.mu.Unlock()
		return nil, refused(refusal)
	}
	u.waiters[w.ticket.ID] = w
	u.pump(now)
	u.mu.Unlock()
	select {
	case s := <-w.ready:
		return u.entered(s)
	default:
	}
	select {
	case s := <-w.ready:
		return u.entered(s)
	case <-ctx.Done():
		return nil, u.leaveQueue(clock.Now(), w)
	}
}

func (u *upstream) entered(s *slot) (*slot, error) {
	if s == nil {
		return nil, waited()
	}
	return s, nil
}

func waited() error {
	e := verdict.New(verdict.DidNotRun, CodeWaited, "no slot was free before the deadline")
	e.RetryAfterMillis = 1000
	return e
}

func refused(r *router.Refusal) error {
	e := verdict.New(verdict.DidNotRun, r.Code, "refused before the queue")
	e.RetryAfterMillis = max(r.RetryAfter.Milliseconds(), 10)
	return e
}

func (u *upstream) leaveQueue(now time.Duration, w *waiter) error {
	u.mu.Lock()
	delete(u.waiters, w.ticket.ID)
	if u.admission.Cancel(w.ticket) {
		u.mu.Unlock()
		return waited()
	}
	u.mu.Unlock()
	// The slot came at the same moment; nothing was sent on it.
	if s := <-w.ready; s != nil {
		s.done(now, router.Refused)
	}
	return waited()
}

// pump hands free slots to waiting requests. The caller holds the lock.
func (u *upstream) pump(now time.Duration) {
	for u.admission.Waiting() > 0 {
		free := u.table.Free(now)
		if free == 0 {
			break
		}
		ticket, ok := u.admission.Next(now, free)
		u.shed()
		if !ok {
			break
		}
		w := u.waiters[ticket.ID]
		delete(u.waiters, ticket.ID)
		pick, _ := u.table.Pick(now, w.id, w.exclude)
		w.ready <- &slot{up: u, ticket: ticket, pick: pick, taken: now}
	}
	u.table.SetWaiting(u.admission.Waiting())
	if u.admission.Waiting() > 0 {
		u.kick()
	}
}

func (u *upstream) shed() {
	for _, t := range u.admission.TakeShed() {
		if w := u.waiters[t.ID]; w != nil {
			delete(u.waiters, t.ID)
			w.ready <- nil
		}
	}
}

func (u *upstream) done(now time.Duration, s *slot, result router.Result) {
	u.mu.Lock()
	defer u.mu.Unlock()
	took := now - s.taken
	if s.answered > 0 {
		u.table.Heard(s.answered, s.pick.Runner.ID)
	}
	u.table.Done(now, s.pick, result, took)
	u.admission.Done(s.ticket, took, result == router.Answered || result == router.Failed)
	u.pump(now)
	if result == router.Unknown || result == router.Abandoned {
		u.doubt()
	}
}

// retry takes a retry from the budget.
func (u *upstream) retry() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.budget.Take()
}

// with runs f on the table and hands out what that freed.
func (u *upstream) with(now time.Duration, f func(*router.Table)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	f(u.table)
	u.table.Expire(now)
	u.pump(now)
}
