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
	// ackedRetention is how long a start of an acknowledged attempt is still
	// refused as a duplicate. It exceeds worker.StampMaxAge, after which a
	// delayed start is refused because of its stamp.
	ackedRetention = 2 * worker.StampMaxAge
	// reportBatchDelay delays a held response after the next expected end of a
	// task, so that ends in quick succession share one response.
	reportBatchDelay = 20 * time.Millisecond
)

// Agent simulates the agent of one worker host.
type Agent struct {
	id       string
	capacity resource.Vector
	journal  *Journal

	mu           sync.Mutex
	incarnation  uint64
	highestToken uint64
	tasks        map[work.TaskID]*task
	finished     map[work.AttemptID]worker.Finished
	// unreported are the finished attempts that no response has listed yet.
	unreported map[work.AttemptID]bool
	ackedUntil map[work.AttemptID]time.Duration
	leaving    bool
	down       bool
	pausedAt   time.Duration
	paused     bool
	faults     Faults
	changed    chan struct{}
}

// NewAgent returns the agent of a host without tasks.
func NewAgent(id string, capacity resource.Vector, journal *Journal) *Agent {
	return &Agent{
		id: id, capacity: capacity, journal: journal, incarnation: 1,
		tasks:      map[work.TaskID]*task{},
		finished:   map[work.AttemptID]worker.Finished{},
		unreported: map[work.AttemptID]bool{},
		ackedUntil: map[work.AttemptID]time.Duration{},
		changed:    make(chan struct{}),
	}
}

// Exchange handles one request of a shard owner. It returns an error if the host is
// down or ctx ends while it waits.
func (a *Agent) Exchange(ctx context.Context, req worker.ExchangeRequest) (worker.ExchangeResponse, error) {
	a.mu.Lock()
	if err := a.awaitReady(ctx); err != nil {
		a.mu.Unlock()
		return worker.ExchangeResponse{}, err
	}
	now := a.journal.Now()
	a.endDueTasks(now)
	resp := worker.ExchangeResponse{}
	if req.Token < a.highestToken && !a.faults.IgnoreTokens {
		resp.Refused = worker.StaleToken
		a.setIdentity(&resp)
		a.mu.Unlock()
		return resp, nil
	}
	a.highestToken = max(a.highestToken, req.Token)
	a.renewLeases(req)
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
			a.ackedUntil[id] = now + ackedRetention
		}
	}
	a.endDueTasks(now)
	if req.Wait > 0 && !req.Full && len(a.unreported) == 0 {
		if err := a.waitForEnd(ctx, now+req.Wait); err != nil {
			a.mu.Unlock()
			return worker.ExchangeResponse{}, err
		}
		if a.highestToken > req.Token && !a.faults.IgnoreTokens {
			resp.Refused = worker.StaleToken
			a.setIdentity(&resp)
			a.mu.Unlock()
			return resp, nil
		}
	}
	a.setState(&resp, req.Full)
	a.mu.Unlock()
	return resp, nil
}

// awaitReady waits while the host is paused and returns an error if it is down.
// The lock is held on entry and on return.
func (a *Agent) awaitReady(ctx context.Context) error {
	for a.paused && !a.down {
		if err := a.waitForChange(ctx, 0); err != nil {
			return err
		}
	}
	if a.down {
		return errDown
	}
	return nil
}

// waitForEnd waits until a task has ended, the agent has a new owner, the host is
// leaving or the clock reaches until.
func (a *Agent) waitForEnd(ctx context.Context, until time.Duration) error {
	token := a.highestToken
	for {
		if err := a.awaitReady(ctx); err != nil {
			return err
		}
		now := a.journal.Now()
		a.endDueTasks(now)
		if len(a.unreported) > 0 || now >= until || a.highestToken != token || a.leaving {
			return nil
		}
		wakeAt := until
		for _, t := range a.tasks {
			if end, _ := t.end(a.faults.IgnoreLeases); end < wakeAt {
				wakeAt = end + reportBatchDelay
			}
		}
		if err := a.waitForChange(ctx, wakeAt-now); err != nil {
			return err
		}
	}
}

// waitForChange releases the lock until notify is called, a positive duration d
// has passed or ctx ends.
func (a *Agent) waitForChange(ctx context.Context, d time.Duration) error {
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

// notify wakes all callers of waitForChange.
func (a *Agent) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// renewLeases extends the leases from the echoed stamp, never from the current
// time, so that a delayed request does not extend them by its delay.
func (a *Agent) renewLeases(req worker.ExchangeRequest) {
	if req.Incarnation != a.incarnation {
		return
	}
	for _, t := range a.tasks {
		t.leaseEnd = max(t.leaseEnd, req.Stamp+t.start.Lease)
	}
}

// start starts an attempt, or returns the reason why it is refused.
func (a *Agent) start(now time.Duration, req worker.ExchangeRequest, s worker.Start) worker.RefusalCode {
	if req.Incarnation != a.incarnation || now-req.Stamp > worker.StampMaxAge || req.Stamp+s.Lease <= now {
		return worker.StaleStamp
	}
	if a.leaving {
		return worker.LeavingHost
	}
	if a.isKnown(s.Attempt) {
		return worker.Duplicate
	}
	if !a.usedCapacity().Add(s.Size).Fits(a.capacity) {
		return worker.NoRoom
	}
	command, err := ParseCommand(s.Command)
	if err != nil {
		command = Command{Run: failureDelay, Fail: true}
	}
	t := &task{start: s, startedAt: now, endsAt: never, leaseEnd: req.Stamp + s.Lease, outcome: work.Succeeded}
	if command.Run > 0 {
		t.endsAt = now + command.Run
	}
	if command.Fail || int(s.Attempt.Attempt) <= command.FailFirst {
		t.outcome = work.Failed
	}
	if a.faults.FailAll {
		t.endsAt, t.outcome = now+failureDelay, work.Failed
	}
	t.journalIndex = a.journal.begin(Execution{Host: a.id, Attempt: s.Attempt, Size: s.Size, Capacity: a.capacity, Token: req.Token, Start: now})
	a.tasks[s.Attempt.Task] = t
	return ""
}

// isKnown reports whether the task runs on this host or the attempt has ended on
// it.
func (a *Agent) isKnown(id work.AttemptID) bool {
	if _, ok := a.tasks[id.Task]; ok {
		return true
	}
	if _, ok := a.finished[id]; ok {
		return true
	}
	_, ok := a.ackedUntil[id]
	return ok
}

// endDueTasks ends the tasks whose end time or lease end has passed, and deletes
// the acknowledged attempts whose retention has passed.
func (a *Agent) endDueTasks(now time.Duration) {
	for id, t := range a.tasks {
		end, outcome := t.end(a.faults.IgnoreLeases)
		if end > now {
			continue
		}
		delete(a.tasks, id)
		a.journal.end(t.journalIndex, end, outcome)
		a.unreported[t.start.Attempt] = true
		a.finished[t.start.Attempt] = worker.Finished{
			Attempt: t.start.Attempt, Outcome: outcome, Ran: end - t.startedAt,
			Peak: t.start.Size, Checkpointed: t.checkpointed,
		}
	}
	for id, until := range a.ackedUntil {
		if until < now {
			delete(a.ackedUntil, id)
		}
	}
}

// usedCapacity returns the sum of the declared sizes of all running tasks.
func (a *Agent) usedCapacity() resource.Vector {
	var sum resource.Vector
	for _, t := range a.tasks {
		sum = sum.Add(t.start.Size)
	}
	return sum
}

// setIdentity sets the incarnation, the clock reading and the highest token in a
// response.
func (a *Agent) setIdentity(resp *worker.ExchangeResponse) {
	resp.Incarnation, resp.Stamp = a.incarnation, a.journal.Now()
	resp.HighestToken = a.highestToken
}

// setState sets the state of the host in a response. Each finished attempt is
// listed once; a full response lists all of them again.
func (a *Agent) setState(resp *worker.ExchangeResponse, full bool) {
	a.setIdentity(resp)
	now := resp.Stamp
	resp.Usage, resp.Capacity, resp.Leaving = a.usedCapacity(), a.capacity, a.leaving
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
			Attempt: t.start.Attempt, Size: t.start.Size, Lease: t.start.Lease, Age: now - t.startedAt, Usage: t.start.Size,
		})
	}
}
