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
	o         Options
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
	// endedAt is when a submission ended, by ID. For one that ended before the term it
	// is when the term began.
	endedAt map[string]time.Duration
	// finished are submissions whose final state is stored. They are forgotten once
	// their runs are gone.
	finished map[string]bool
	// hostsToForget are hosts whose records are to be deleted from the log.
	hostsToForget []string

	rounds     storeRounds
	metrics    metrics
	deposed    chan struct{}
	deposeOnce sync.Once
	// lastDecisionTime is how long the last decision took. Only Run uses it.
	lastDecisionTime time.Duration
	goroutines       sync.WaitGroup
}

// New returns an owner for the term that began with its claim.
func New(o Options) *Owner {
	w := &Owner{
		o: o, authority: authority{clock: o.Clock}, wake: make(chan struct{}, 1), orderSlots: make(chan struct{}, maxOrdersInFlight),
		scheduler: schedule.New(schedule.Options{
			FirstRunNumber: (o.Self.Token - 1) * runNumbersPerOwner, GangTimeout: o.GangTimeout,
		}),
		hosts: make(map[string]*hostPoller), endedAt: make(map[string]time.Duration), finished: make(map[string]bool),
		deposed: make(chan struct{}),
	}
	w.rounds.init()
	w.metrics = newMetrics(o.Metrics)
	w.authority.extend(o.ClaimSent)
	return w
}

// Load adds the stored state of every submission. It is called before Run, by the
// goroutine that reads the log.
func (w *Owner) Load(entries []registry.Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, wall := w.o.Clock.Now(), w.o.Wall()
	for _, e := range entries {
		if e.Progress.State.Final() {
			w.endedAt[e.Submission.ID] = now
			continue
		}
		w.add(e, now, wall)
	}
}

func (w *Owner) add(e registry.Entry, now, wall time.Duration) {
	w.scheduler.Add(e.Submission, e.Progress, e.Offset < w.o.ClaimOffset, now, wall)
	if e.Cancelled {
		w.scheduler.Cancel(e.Submission.ID, now)
	}
}

// Submitted implements registry.Listener.
func (w *Owner) Submitted(e registry.Entry) {
	w.mu.Lock()
	w.add(e, w.o.Clock.Now(), w.o.Wall())
	w.mu.Unlock()
	w.requestDecision()
}

// CancelRequested implements registry.Listener.
func (w *Owner) CancelRequested(id string) {
	w.mu.Lock()
	w.scheduler.Cancel(id, w.o.Clock.Now())
	w.mu.Unlock()
	w.requestDecision()
}

// SetDesired replaces the objects that operators control.
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

// Deposed returns a channel that is closed once the term is over: another owner
// is known, or an append failed.
func (w *Owner) Deposed() <-chan struct{} { return w.deposed }

func (w *Owner) depose(reason string) {
	w.deposeOnce.Do(func() {
		w.o.Log.Warn("Ownership of the cell is lost.", "token", w.o.Self.Token, "reason", reason)
		close(w.deposed)
	})
}

// Run makes and executes decisions until ctx ends or the owner is deposed.
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
		case <-w.deposed:
		case <-w.wake:
			time.Sleep(w.batchWindow())
		case <-t.C:
		}
		select {
		case <-ctx.Done():
			w.shutDown(cancel)
			return
		case <-w.deposed:
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
	startedAt := w.o.Clock.Now()
	plan := w.scheduler.Decide(startedAt, w.o.Wall())
	w.lastDecisionTime = w.o.Clock.Now() - startedAt
	notes := w.scheduler.Notes()
	w.mu.Unlock()
	w.rounds.request()
	for _, n := range notes {
		w.o.Log.Info(n.Text, "id", n.Submission, "host", n.Host)
	}
	w.execute(ctx, plan)
}

// checkReconciled tells the scheduler once no unknown run of an earlier owner can
// exist.
func (w *Owner) checkReconciled() {
	if w.reconciled || len(w.hosts) == 0 {
		return
	}
	now := w.o.Clock.Now()
	unresolved := 0
	for _, h := range w.hosts {
		if !h.runsKnown && !h.leasesExpired && !h.closedByFormer {
			unresolved++
		}
	}
	if unresolved > 0 && now < w.earlierRunsEndBy() {
		return
	}
	w.reconciled = true
	w.scheduler.MarkReconciled(now)
	w.o.Log.Info("All runs of earlier owners are known or have ended.", "token", w.o.Self.Token, "hosts", len(w.hosts), "silent", unresolved, "after", now-w.o.ClaimedAt)
}

// earlierRunsEndBy returns the time by which runs of earlier owners on hosts that
// do not answer have certainly ended.
func (w *Owner) earlierRunsEndBy() time.Duration {
	if w.o.EarlierOwnersGone() {
		return w.o.ClaimedAt + withClockDrift(w.leaseDuration())
	}
	return w.o.ClaimedAt + withClockDrift(AuthorityDuration+w.leaseDuration())
}

// Reconciled reports whether every run of earlier owners is known or has ended.
func (w *Owner) Reconciled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reconciled
}

func (w *Owner) leaseDuration() time.Duration {
	if w.o.MaxLease > 0 {
		return min(LeaseDuration, w.o.MaxLease)
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
	return w.rounds.wait(ctx)
}
