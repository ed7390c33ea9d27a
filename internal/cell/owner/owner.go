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
	// runsPerOwner separates the run numbers of successive owners.
	runsPerOwner = 1000
	// tick is the longest time between two decisions.
	tick = 50 * time.Millisecond
	// gather is the time in which events are collected before a decision.
	gather = 2 * time.Millisecond
	// gatherFactor and maxGather bound the part of the time spent on deciding.
	gatherFactor = 4
	maxGather    = 25 * time.Millisecond
	// maxOrders bounds the orders on their way.
	maxOrders = 512
)

// Owner is the term of one node as owner of the cell.
type Owner struct {
	o         Options
	authority authority
	wake      chan struct{}
	orders    chan struct{}

	mu        sync.Mutex
	scheduler *schedule.Scheduler
	hosts     map[string]*hostLoop
	settled   bool
	stopping  bool
	ends      map[string]time.Duration
	// finals are over and stored, and forgotten once their runs are gone.
	finals map[string]bool
	// dropped are hosts to be forgotten in the log.
	dropped []string

	progress progress
	metrics  metrics
	deposed  chan struct{}
	once     sync.Once
	// decided is how long the last decision took. Only Run uses it.
	decided time.Duration
	running sync.WaitGroup
}

// New returns an owner for the term that its claim began.
func New(o Options) *Owner {
	w := &Owner{
		o: o, authority: authority{clock: o.Clock}, wake: make(chan struct{}, 1), orders: make(chan struct{}, maxOrders),
		scheduler: schedule.New(schedule.Options{
			FirstRun: (o.Self.Token - 1) * runsPerOwner, GangTimeout: o.GangTimeout,
		}),
		hosts: make(map[string]*hostLoop), ends: make(map[string]time.Duration), finals: make(map[string]bool),
		deposed: make(chan struct{}),
	}
	w.progress.init()
	w.metrics = newMetrics(o.Metrics)
	w.authority.confirm(o.ClaimSent)
	return w
}

// Load adds what is stored about every submission. It is called before Run, by
// the goroutine that reads the log.
func (w *Owner) Load(entries []registry.Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, wall := w.o.Clock.Now(), w.o.Wall()
	for _, e := range entries {
		if e.Progress.State.Final() {
			w.ends[e.Submission.ID] = now
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
	w.kick()
}

// CancelRequested implements registry.Listener.
func (w *Owner) CancelRequested(id string) {
	w.mu.Lock()
	w.scheduler.Cancel(id, w.o.Clock.Now())
	w.mu.Unlock()
	w.kick()
}

// SetDesired replaces the objects that operators control.
func (w *Owner) SetDesired(d *cell.Desired) {
	w.mu.Lock()
	w.scheduler.SetDesired(d)
	w.mu.Unlock()
	w.kick()
}

func (w *Owner) kick() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Deposed is closed when another owner is known.
func (w *Owner) Deposed() <-chan struct{} { return w.deposed }

func (w *Owner) depose(reason string) {
	w.once.Do(func() {
		w.o.Log.Warn("The ownership is over.", "token", w.o.Self.Token, "reason", reason)
		close(w.deposed)
	})
}

// Run decides until ctx ends or the owner is deposed.
func (w *Owner) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.running.Add(1)
	go func() {
		defer w.running.Done()
		w.persist(ctx)
	}()
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
		case <-w.deposed:
		case <-w.wake:
			time.Sleep(w.gatherFor())
		case <-t.C:
		}
		select {
		case <-ctx.Done():
			w.end(cancel)
			return
		case <-w.deposed:
			w.end(cancel)
			return
		default:
		}
		w.step(ctx)
	}
}

// end waits for everything that acts under the token.
func (w *Owner) end(cancel context.CancelFunc) {
	cancel()
	w.running.Wait()
}

// gatherFor returns how long events are collected. It grows with the time that
// a decision takes, so that deciding uses a bounded part of the processor.
func (w *Owner) gatherFor() time.Duration {
	return min(max(gather, gatherFactor*w.decided), maxGather)
}

func (w *Owner) step(ctx context.Context) {
	if !w.authority.holds() {
		return
	}
	w.mu.Lock()
	w.settle()
	if w.stopping {
		w.mu.Unlock()
		return
	}
	begun := w.o.Clock.Now()
	plan := w.scheduler.Decide(begun, w.o.Wall())
	w.decided = w.o.Clock.Now() - begun
	notes := w.scheduler.Notes()
	w.mu.Unlock()
	w.progress.request()
	for _, n := range notes {
		w.o.Log.Info(n.Text, "id", n.Submission, "host", n.Host)
	}
	w.carryOut(ctx, plan)
}

// settle tells the scheduler when no unknown run of an earlier owner can exist.
func (w *Owner) settle() {
	if w.settled || len(w.hosts) == 0 {
		return
	}
	now := w.o.Clock.Now()
	open := 0
	for _, h := range w.hosts {
		if !h.adopted && !h.lapsed && !h.formerClosed {
			open++
		}
	}
	if open > 0 && now < w.unknownUntil() {
		return
	}
	w.settled = true
	w.scheduler.Settle(now)
	w.o.Log.Info("All runs of earlier owners are known or over.", "token", w.o.Self.Token, "hosts", len(w.hosts), "silent", open, "after", now-w.o.ClaimedAt)
}

// unknownUntil returns when runs of earlier owners on hosts that do not answer
// are over for certain.
func (w *Owner) unknownUntil() time.Duration {
	if w.o.FormerGone() {
		return w.o.ClaimedAt + stretched(w.lease())
	}
	return w.o.ClaimedAt + stretched(AuthorityFor+w.lease())
}

// Settled reports whether every run of earlier owners is known or over.
func (w *Owner) Settled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.settled
}

func (w *Owner) lease() time.Duration {
	if w.o.MaxLease > 0 {
		return min(Lease, w.o.MaxLease)
	}
	return Lease
}

// Stop ends the term in good order: no order is sent any more, and everything
// that is known is stored. It returns whether that was done in time.
func (w *Owner) Stop(ctx context.Context) bool {
	w.mu.Lock()
	w.stopping = true
	w.mu.Unlock()
	for range cap(w.orders) {
		select {
		case w.orders <- struct{}{}:
		case <-ctx.Done():
			return false
		}
	}
	return w.progress.wait(ctx)
}
