package worker

import (
	"context"
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/platform/worker"
	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

const (
	// rememberAcked is how long an acknowledged attempt is still refused as a
	// duplicate. It exceeds worker.StampMaxAge, after which a delayed start is
	// refused by its stamp.
	rememberAcked = 2 * worker.StampMaxAge
	// reportDelay collects task ends that are close together in one answer.
	reportDelay = 20 * time.Millisecond
)

// Agent is the agent of one worker host.
type Agent struct {
	id       string
	capacity resource.Vector
	journal  *Journal

	mu           sync.Mutex
	incarnation  uint64
	highestToken uint64
	tasks        map[work.TaskID]*task
	finished     map[work.AttemptID]worker.Finished
	// unreported are the finished attempts that no answer has named yet.
	unreported map[work.AttemptID]bool
	acked      map[work.AttemptID]time.Duration
	leaving    bool
	down       bool
	pausedAt   time.Duration
	paused     bool
	faults     Faults
	changed    chan struct{}
}

// NewAgent returns the agent of an empty host.
func NewAgent(id string, capacity resource.Vector, journal *Journal) *Agent {
	return &Agent{
		id: id, capacity: capacity, journal: journal, incarnation: 1,
		tasks:      map[work.TaskID]*task{},
		finished:   map[work.AttemptID]worker.Finished{},
		unreported: map[work.AttemptID]bool{},
		acked:      map[work.AttemptID]time.Duration{},
		changed:    make(chan struct{}),
	}
}

// Exchange handles one request of a shard owner.
func (a *Agent) Exchange(ctx context.Context, req worker.ExchangeRequest) (worker.ExchangeResponse, error) {
	a.mu.Lock()
	if err := a.awaitReady(ctx); err != nil {
		a.mu.Unlock()
		return worker.ExchangeResponse{}, err
	}
	now := a.journal.Now()
	a.settle(now)
	resp := worker.ExchangeResponse{}
	if req.Token < a.highestToken && !a.faults.IgnoreTokens {
		resp.Refused = worker.StaleToken
		a.identify(&resp)
		a.mu.Unlock()
		return resp, nil
	}
	a.highestToken = max(a.highestToken, req.Token)
	a.renew(req)
	for _, start := range req.Starts {
		resp.Starts = append(resp.Starts, worker.StartResult{Attempt: start.Attempt, Refused: a.start(now, req, start)})
	}
	for _, stop := range req.Stops {
		if t := a.tasks[stop.Attempt.Task]; t != nil && t.start.Attempt == stop.Attempt {
			t.stop(now, stop.Mode)
		}
	}
	for _, id := range req.Acks {
		if _, ok := a.finished[id]; ok {
			delete(a.finished, id)
			delete(a.unreported, id)
			a.acked[id] = now + rememberAcked
		}
	}
	a.settle(now)
	if req.Wait > 0 && !req.Full && len(a.unreported) == 0 {
		if err := a.waitForEnd(ctx, now+req.Wait); err != nil {
			a.mu.Unlock()
			return worker.ExchangeResponse{}, err
		}
		if a.highestToken > req.Token && !a.faults.IgnoreTokens {
			resp.Refused = worker.StaleToken
			a.identify(&resp)
			a.mu.Unlock()
			return resp, nil
		}
	}
	a.fill(&resp, req.Full)
	a.mu.Unlock()
	return resp, nil
}

// awaitReady blocks while the host is paused and fails while it is down.
// The lock is held on entry and on return.
func (a *Agent) awaitReady(ctx context.Context) error {
	for a.paused && !a.down {
		if err := a.block(ctx, 0); err != nil {
			return err
		}
	}
	if a.down {
		return errDown
	}
	return nil
}

// waitForEnd blocks until a task has ended, the agent changes owner or a time has come.
func (a *Agent) waitForEnd(ctx context.Context, until time.Duration) error {
	token := a.highestToken
	for {
		if err := a.awaitReady(ctx); err != nil {
			return err
		}
		now := a.journal.Now()
		a.settle(now)
		if len(a.unreported) > 0 || now >= until || a.highestToken != token || a.leaving {
			return nil
		}
		wake := until
		for _, t := range a.tasks {
			if end, _ := t.end(a.faults.IgnoreLeases); end < wake {
				wake = end + reportDelay
			}
		}
		if err := a.block(ctx, wake-now); err != nil {
			return err
		}
	}
}

// block releases the lock until something changes, a positive duration has
// passed or ctx ends.
func (a *Agent) block(ctx context.Context, d time.Duration) error {
	changed := a.changed
	a.mu.Unlock()
	defer a.mu.Lock()
	var timeout <-chan time.Time
	if d > 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case <-changed:
	case <-timeout:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// notify wakes everything that blocks.
func (a *Agent) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// renew extends leases from the echoed stamp, never from the present time, so
// that a delayed request cannot extend them.
func (a *Agent) renew(req worker.ExchangeRequest) {
	if req.Incarnation != a.incarnation {
		return
	}
	for _, t := range a.tasks {
		t.leaseEnd = max(t.leaseEnd, req.Stamp+t.start.Lease)
	}
}

// start runs an attempt or says why not.
func (a *Agent) start(now time.Duration, req worker.ExchangeRequest, s worker.Start) worker.RefusalCode {
	if req.Incarnation != a.incarnation || now-req.Stamp > worker.StampMaxAge || req.Stamp+s.Lease <= now {
		return worker.StaleStamp
	}
	if a.leaving {
		return worker.LeavingHost
	}
	if a.known(s.Attempt) {
		return worker.Duplicate
	}
	if !a.used().Add(s.Size).Fits(a.capacity) {
		return worker.NoRoom
	}
	command, err := ParseCommand(s.Command)
	if err != nil {
		command = Command{Run: failAfter, Fail: true}
	}
	t := &task{start: s, began: now, endsAt: never, leaseEnd: req.Stamp + s.Lease, outcome: work.Succeeded}
	if command.Run > 0 {
		t.endsAt = now + command.Run
	}
	if command.Fail || int(s.Attempt.Attempt) <= command.FailFirst {
		t.outcome = work.Failed
	}
	if a.faults.FailAll {
		t.endsAt, t.outcome = now+failAfter, work.Failed
	}
	t.journal = a.journal.begin(Execution{Host: a.id, Attempt: s.Attempt, Size: s.Size, Capacity: a.capacity, Token: req.Token, Start: now})
	a.tasks[s.Attempt.Task] = t
	return ""
}

// known reports whether the task runs here, or the attempt has ended here.
func (a *Agent) known(id work.AttemptID) bool {
	if _, ok := a.tasks[id.Task]; ok {
		return true
	}
	if _, ok := a.finished[id]; ok {
		return true
	}
	_, ok := a.acked[id]
	return ok
}

// settle ends the tasks whose time has come.
func (a *Agent) settle(now time.Duration) {
	for id, t := range a.tasks {
		end, outcome := t.end(a.faults.IgnoreLeases)
		if end > now {
			continue
		}
		delete(a.tasks, id)
		a.journal.end(t.journal, end, outcome)
		a.unreported[t.start.Attempt] = true
		a.finished[t.start.Attempt] = worker.Finished{
			Attempt: t.start.Attempt, Outcome: outcome, Ran: end - t.began,
			Peak: t.start.Size, Checkpointed: t.checkpointed,
		}
	}
	for id, until := range a.acked {
		if until < now {
			delete(a.acked, id)
		}
	}
}

// used returns the declared size of all running tasks.
func (a *Agent) used() resource.Vector {
	var sum resource.Vector
	for _, t := range a.tasks {
		sum = sum.Add(t.start.Size)
	}
	return sum
}

// identify writes the identity of the agent and its clock into an answer.
func (a *Agent) identify(resp *worker.ExchangeResponse) {
	resp.Incarnation, resp.Stamp = a.incarnation, a.journal.Now()
	resp.HighestToken = a.highestToken
}

// fill writes the state of the host into an answer. Finished attempts are
// named once, and all of them again in a full answer.
func (a *Agent) fill(resp *worker.ExchangeResponse, full bool) {
	a.identify(resp)
	now := resp.Stamp
	resp.Usage, resp.Capacity, resp.Leaving = a.used(), a.capacity, a.leaving
	for id, f := range a.finished {
		if full || a.unreported[id] {
			resp.Finished = append(resp.Finished, f)
		}
	}
	clear(a.unreported)
	if !full {
		return
	}
	for _, t := range a.tasks {
		resp.Running = append(resp.Running, worker.Running{
			Attempt: t.start.Attempt, Size: t.start.Size, Lease: t.start.Lease, Age: now - t.began, Usage: t.start.Size,
		})
	}
}
