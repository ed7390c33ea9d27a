package owner

import (
	"context"
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/cell/schedule"
)

const (
	// runNumbersPerOwner is the size of the range of run numbers of one owner, which
	// keeps the numbers of successive owners apart.
	runNumbersPerOwner = 1000
	// maxDecisionInterval is the longest time between two decisions.
	maxDecisionInterval = 50 * time.Millisecond
	// minBatchWindow is the shortest time for which events are collected before a
	// decision.
	minBatchWindow = 2 * time.Millisecond
	// batchWindowFactor is the length of the batch window as a multiple of the last
	// decision's duration, up to maxBatchWindow. It bounds the share of time spent
	// on decisions.
	batchWindowFactor = 4
	maxBatchWindow    = 25 * time.Millisecond
	// maxOrdersInFlight bounds the orders that are sent and not answered.
	maxOrdersInFlight = 512
)

// Owner is one term of a node as owner of the cell.
type Owner struct {
	options   Options
	authority authority
	// wake triggers a decision.
	wake chan struct{}
	// orderSlots limits the orders in flight.
	orderSlots chan struct{}

	mu        sync.Mutex
	scheduler *schedule.Scheduler
	hosts     map[string]*hostPoller
	// reconciled is set once every run of earlier owners is known or has ended.
	reconciled bool
	// stopping is set once no further orders may be sent.
	stopping bool
	// finishedAt is when a submission finished, by ID. For one that finished before
	// the term it is when the term began.
	finishedAt map[string]time.Duration
	// finished are submissions whose final state is stored. They are removed once
	// their runs are gone.
	finished map[string]bool
	// removedHosts are hosts whose records are to be deleted from the log.
	removedHosts []string

	storeRounds       storeRounds
	metrics           metrics
	ownershipLost     chan struct{}
	loseOwnershipOnce sync.Once
	// lastDecisionTime is how long the last decision took. Only Run uses it.
	lastDecisionTime time.Duration
	goroutines       sync.WaitGroup
}

// New returns an owner for the term that began with its claim.
func New(o Options) *Owner {
	w := &Owner{
		options: o, authority: authority{clock: o.Clock}, wake: make(chan struct{}, 1), orderSlots: make(chan struct{}, maxOrdersInFlight),
		scheduler: schedule.New(schedule.Options{
			FirstRunNumber: (o.Self.Token - 1) * runNumbersPerOwner, GangTimeout: o.GangTimeout,
		}),
		hosts: make(map[string]*hostPoller), finishedAt: make(map[string]time.Duration), finished: make(map[string]bool),
		ownershipLost: make(chan struct{}),
	}
	w.storeRounds.init()
	w.metrics = newMetrics(o.Metrics)
	w.authority.extend(o.ClaimSent)
	return w
}

// Load adds the stored state of every submission. It is called before Run, by the
// goroutine that reads the log.
func (w *Owner) Load(entries []registry.Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, wall := w.options.Clock.Now(), w.options.WallClock()
	for _, e := range entries {
		if e.Progress.State.Final() {
			w.finishedAt[e.Submission.ID] = now
			continue
		}
		w.add(e, now, wall)
	}
}

func (w *Owner) add(e registry.Entry, now, wall time.Duration) {
	w.scheduler.Add(e.Submission, e.Progress, e.Offset < w.options.ClaimOffset, now, wall)
	if e.Cancelled {
		w.scheduler.Cancel(e.Submission.ID, now)
	}
}

// Submitted implements registry.Listener.
func (w *Owner) Submitted(e registry.Entry) {
	w.mu.Lock()
	w.add(e, w.options.Clock.Now(), w.options.WallClock())
	w.mu.Unlock()
	w.requestDecision()
}

// CancelRequested implements registry.Listener.
func (w *Owner) CancelRequested(id string) {
	w.mu.Lock()
	w.scheduler.Cancel(id, w.options.Clock.Now())
	w.mu.Unlock()
	w.requestDecision()
}

// SetDesired replaces the desired state.
func (w *Owner) SetDesired(d *cell.Desired) {
	w.mu.Lock()
	w.scheduler.SetDesired(d)
	w.mu.Unlock()
	w.requestDecision()
}

func (w *Owner) requestDecision() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// OwnershipLost returns a channel that is closed once the ownership is lost:
// another owner is known, or an append failed.
func (w *Owner) OwnershipLost() <-chan struct{} { return w.ownershipLost }

func (w *Owner) loseOwnership(reason string) {
	w.loseOwnershipOnce.Do(func() {
		w.options.Log.Warn("Ownership of the cell is lost.", "token", w.options.Self.Token, "reason", reason)
		close(w.ownershipLost)
	})
}

// Run makes and executes decisions until ctx ends or the ownership is lost.
func (w *Owner) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.goroutines.Add(1)
	go func() {
		defer w.goroutines.Done()
		w.persist(ctx)
	}()
	t := time.NewTicker(maxDecisionInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
		case <-w.ownershipLost:
		case <-w.wake:
			time.Sleep(w.batchWindow())
		case <-t.C:
		}
		select {
		case <-ctx.Done():
			w.shutDown(cancel)
			return
		case <-w.ownershipLost:
			w.shutDown(cancel)
			return
		default:
		}
		w.decide(ctx)
	}
}

// shutDown waits for every goroutine that acts under the fencing token.
func (w *Owner) shutDown(cancel context.CancelFunc) {
	cancel()
	w.goroutines.Wait()
}

// batchWindow returns how long events are collected before a decision. It grows
// with the time that a decision takes, so that decisions use a bounded share of
// the CPU.
func (w *Owner) batchWindow() time.Duration {
	return min(max(minBatchWindow, batchWindowFactor*w.lastDecisionTime), maxBatchWindow)
}

func (w *Owner) decide(ctx context.Context) {
	if !w.authority.valid() {
		return
	}
	w.mu.Lock()
	w.checkReconciled()
	if w.stopping {
		w.mu.Unlock()
		return
	}
	startedAt := w.options.Clock.Now()
	plan := w.scheduler.Decide(startedAt, w.options.WallClock())
	w.lastDecisionTime = w.options.Clock.Now() - startedAt
	notes := w.scheduler.Notes()
	w.mu.Unlock()
	w.storeRounds.request()
	for _, n := range notes {
		w.options.Log.Info(n.Text, "id", n.Submission, "host", n.Host)
	}
	w.execute(ctx, plan)
}

// checkReconciled tells the scheduler once no unknown run of an earlier owner can
// exist.
func (w *Owner) checkReconciled() {
	if w.reconciled || len(w.hosts) == 0 {
		return
	}
	now := w.options.Clock.Now()
	unresolved := 0
	for _, h := range w.hosts {
		if !h.runsKnown && !h.allRunsGone && !h.closedByPreviousOwner {
			unresolved++
		}
	}
	if unresolved > 0 && now < w.earlierRunsEndBy() {
		return
	}
	w.reconciled = true
	w.scheduler.MarkReconciled(now)
	w.options.Log.Info("All runs of earlier owners are known or have ended.", "token", w.options.Self.Token, "hosts", len(w.hosts), "silent", unresolved, "after", now-w.options.ClaimedAt)
}

// earlierRunsEndBy returns the time by which runs of earlier owners on hosts that
// do not answer have certainly ended.
func (w *Owner) earlierRunsEndBy() time.Duration {
	if w.options.EarlierOwnersGone() {
		return w.options.ClaimedAt + runsEndWithin(w.leaseDuration())
	}
	return w.options.ClaimedAt + runsEndWithin(AuthorityDuration+w.leaseDuration())
}

// Reconciled reports whether every run of earlier owners is known or has ended.
func (w *Owner) Reconciled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reconciled
}

func (w *Owner) leaseDuration() time.Duration {
	if w.options.MaxLease > 0 {
		return min(LeaseDuration, w.options.MaxLease)
	}
	return LeaseDuration
}

// Stop ends the term gracefully: it waits for orders in flight, sends no further
// ones, and stores everything that is known. It reports whether that was done
// before ctx ended.
func (w *Owner) Stop(ctx context.Context) bool {
	w.mu.Lock()
	w.stopping = true
	w.mu.Unlock()
	for range cap(w.orderSlots) {
		select {
		case w.orderSlots <- struct{}{}:
		case <-ctx.Done():
			return false
		}
	}
	return w.storeRounds.waitStored(ctx)
}
