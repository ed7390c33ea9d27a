package owner

import (
	"context"
	"sync"
	"sync/atomic"
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
)

// Owner executes the scheduler's decisions during one term, that is, while this
// process owns the cell.
type Owner struct {
	options   Options
	authority authority
	// wake triggers a decision.
	wake chan struct{}
	// heartbeatSlot limits the heartbeats in flight to one.
	heartbeatSlot chan struct{}
	starts        *orderQueue[schedule.Start]
	stops         *orderQueue[schedule.Stop]

	mu        sync.Mutex
	scheduler *schedule.Scheduler
	// desired is the desired state that the scheduler has.
	desired *cell.Desired
	hosts   map[string]*hostPoller
	// callsToHosts holds the calls to each host that a later lifetime may carry out,
	// by the host's ID, also for a while after the host was removed.
	callsToHosts map[string]*leaseCalls
	// tokenFloor is the highest fencing token of the hosts that are forgotten there.
	tokenFloor int64
	// loading is the ID of the submission that is loaded.
	loading string
	// broken is set after a panic: the state may be changed in part, and must not be used.
	broken bool
	// ended is set once the term has ended: no host is added any more.
	ended bool
	// retained holds the submissions that have finished, by ID, until they are deleted.
	retained map[string]finishedSubmission
	// finished are submissions whose final state is stored. They are removed once
	// their runs are gone.
	finished map[string]bool
	// removedHosts are hosts whose records are to be deleted from the log.
	removedHosts []string

	// evacuations is guarded by mu but for its limit of log lines.
	evacuations   evacuations
	cancellations cancellations
	// advice are the advice calls in flight.
	advice adviceCalls

	// earlierOwners is guarded by mu.
	earlierOwners earlierOwners
	// reconciled is set once every run of earlier owners is known or has ended. It is set
	// under mu.
	reconciled atomic.Bool
	// earlierOwnersEnded is set once moreover none of them can act any more. It is set under mu.
	earlierOwnersEnded atomic.Bool
	// stopping is set once no further orders may be sent. It is set under mu.
	stopping atomic.Bool
	// lastDecisionEnd is when the last call of decide ended, or the term began. It rises
	// also while the authority is not valid, since heartbeats restore it.
	lastDecisionEnd atomic.Int64
	// lastSeenAppend is when the last append was sent that shows the other nodes that
	// the owner acts.
	lastSeenAppend atomic.Int64

	events eventQueue
	// loaded is closed once the stored submissions have been taken over.
	loaded chan struct{}

	storeRounds storeRounds
	metrics     metrics
	delays      delayLog
	published   loadPublisher
	// applied is how far the work topic had been applied at the last decision; guarded by mu.
	applied           uint64
	ownershipLost     chan struct{}
	loseOwnershipOnce sync.Once
	// lastDecisionTime is how long the last decision took. Only Run uses it.
	lastDecisionTime time.Duration
	goroutines       sync.WaitGroup
	// runTimesDue is when the record of run times may be stored again; only persist uses it.
	runTimesDue time.Duration
	// tombstoneAges is used by persist only.
	tombstoneAges tombstoneAges
	// runTimesShown is when the gauges of run times were last updated.
	runTimesShown time.Duration
}

// New returns an owner for the term that began with its claim.
func New(o Options) *Owner {
	ow := &Owner{
		options: o, authority: authority{clock: o.Clock}, wake: make(chan struct{}, 1), heartbeatSlot: make(chan struct{}, 1), starts: newStartQueue(), stops: newStopQueue(),
		scheduler: newScheduler(o), hosts: make(map[string]*hostPoller), callsToHosts: make(map[string]*leaseCalls), retained: make(map[string]finishedSubmission), finished: make(map[string]bool),
		advice: make(adviceCalls), evacuations: newEvacuations(), cancellations: newCancellations(), loaded: make(chan struct{}), ownershipLost: make(chan struct{}),
	}
	ow.storeRounds.init()
	ow.metrics = newMetrics(o.Metrics)
	ow.delays = newDelayLog(o.Log, o.Metrics)
	ow.authority.extend(o.ClaimSent)
	ow.beginWithEarlierOwners()
	now := int64(o.Clock.Now())
	ow.lastDecisionEnd.Store(now)
	ow.lastSeenAppend.Store(now)
	return ow
}

func newScheduler(o Options) *schedule.Scheduler {
	return schedule.New(schedule.Options{
		RunNumberBase: (o.Self.Token - 1) * runNumbersPerOwner, GangTimeout: o.GangTimeout, MaxWeight: o.MaxWeight, Features: o.Features,
	})
}

// updateDesired passes a new desired state to the scheduler. The owner fetches the
// state, so that the reader of the desired state never waits for a decision.
func (ow *Owner) updateDesired() {
	if d := ow.options.Desired(); d != nil && d != ow.desired {
		ow.desired = d
		ow.scheduler.SetDesired(d)
	}
}

func (ow *Owner) requestDecision() {
	select {
	case ow.wake <- struct{}{}:
	default:
	}
}

// OwnershipLost returns a channel that is closed once the ownership is lost:
// another owner is known, or an append failed.
func (ow *Owner) OwnershipLost() <-chan struct{} { return ow.ownershipLost }

func (ow *Owner) loseOwnership(reason string) {
	ow.loseOwnershipOnce.Do(func() {
		ow.options.Log.Warn("Ownership of the cell is lost.", "token", ow.options.Self.Token, "reason", reason)
		close(ow.ownershipLost)
	})
}

// Run takes over the stored submissions, then makes and executes decisions until ctx ends or the ownership is lost.
func (ow *Owner) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ow.runGuarded(func() { ow.sendHeartbeats(ctx) })
	ow.load()
	ow.runGuarded(func() { ow.persist(ctx) })
	t := time.NewTicker(maxDecisionInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
		case <-ow.ownershipLost:
		case <-ow.wake:
			time.Sleep(ow.batchWindow())
		case <-t.C:
		}
		select {
		case <-ctx.Done():
			ow.shutDown(cancel)
			return
		case <-ow.ownershipLost:
			ow.shutDown(cancel)
			return
		default:
		}
		ow.decide(ctx)
	}
}

// shutDown waits for every goroutine that acts under the fencing token, and writes the messages
// since the last decision.
func (ow *Owner) shutDown(cancel context.CancelFunc) {
	cancel()
	ow.mu.Lock()
	ow.ended = true
	ow.mu.Unlock()
	ow.goroutines.Wait()
	ow.withState(func() { ow.logMessages(ow.scheduler.TakeLogMessages()) })
}

// batchWindow returns how long events are collected before a decision. It grows
// with the time that a decision takes, so that decisions use a bounded share of
// the CPU.
func (ow *Owner) batchWindow() time.Duration {
	return min(max(minBatchWindow, batchWindowFactor*ow.lastDecisionTime), maxBatchWindow)
}

func (ow *Owner) decide(ctx context.Context) {
	defer func() { ow.lastDecisionEnd.Store(int64(ow.options.Clock.Now())) }()
	if !ow.authority.valid() {
		return
	}
	plan, messages, waited := ow.plan()
	if plan == nil {
		return
	}
	ow.delays.decision(waited, ow.lastDecisionTime, plan)
	ow.storeRounds.request()
	ow.logMessages(messages)
	ow.execute(ctx, plan)
}

// plan returns the next orders, nil if none may be sent, the messages for the log, and how
// long it waited for the owner's lock.
func (ow *Owner) plan() (p *schedule.Plan, messages []schedule.LogMessage, waited time.Duration) {
	requestedAt := ow.options.Clock.Now()
	ow.mu.Lock()
	defer ow.unlock()
	if ow.broken {
		return nil, nil, 0
	}
	ow.checkReconciled()
	ow.checkEarlierOwnersEnded()
	if ow.stopping.Load() {
		return nil, nil, 0
	}
	ow.updateDesired()
	zonesProven, cancellationsRecent := ow.updateEvacuations(), ow.updateCancellations()
	ow.scheduler.HoldStarts(!zonesProven || !cancellationsRecent)
	ow.metrics.setHeld(!zonesProven || !cancellationsRecent)
	if ow.options.Applied != nil {
		ow.applied = ow.options.Applied() // before the events of these records
	}
	ow.applyEvents()
	ow.scheduler.SetAdviceRoom(ow.advice.room(ow.options.Advisor))
	waiting := ow.starts.waitingCount()
	ow.scheduler.SetStartRoom(max(maxWaitingStarts-waiting, 0))
	ow.scheduler.HoldGangs(!ow.authority.lasts(minGangAuthority))
	startedAt := ow.options.Clock.Now()
	p = ow.scheduler.Decide(startedAt, ow.options.WallClock())
	ow.lastDecisionTime = ow.options.Clock.Now() - startedAt
	ow.advice.planned(p.AdviceRequests)
	weight, deferred := ow.scheduler.Held()
	ow.metrics.setBounds(weight, deferred, waiting)
	ow.showRunTimes(startedAt)
	ow.metrics.gangRoom.set(ow.scheduler.GangRoom())
	ow.metrics.load.setShares(ow.scheduler, startedAt)
	return p, ow.scheduler.TakeLogMessages(), startedAt - requestedAt
}

// checkReconciled informs the scheduler once no unknown run of an earlier owner
// can exist. That the leases on a host have expired does not suffice if the host has not
// answered yet: it may list ends that nobody has stored. Its polls show whether it answers;
// if it does not, the last of them records that all runs there are gone.
func (ow *Owner) checkReconciled() {
	if ow.reconciled.Load() || len(ow.hosts) == 0 {
		return
	}
	now := ow.options.Clock.Now()
	unresolved, closed := 0, 0
	for _, h := range ow.hosts {
		switch {
		case h.runsKnown:
			continue
		case h.closedByPreviousOwner:
			closed++
			continue
		case !h.allRunsGone && (h.life == nil || now < ow.earlierRunsEndBy(h)):
			return
		}
		unresolved++
	}
	ow.reconciled.Store(true)
	ow.scheduler.MarkReconciled(now)
	ow.options.Log.Info("All runs of earlier owners are known or have ended.", "token", ow.options.Self.Token, "hosts", len(ow.hosts), "silent", unresolved, "closed", closed, "earlier_owners_gone", ow.earlierOwners.isGone, "after", now-ow.options.ClaimedAt)
}

// earlierRunsEndBy returns the time by which runs of earlier owners on a host that does
// not answer have certainly ended. If it has restarted since an earlier owner stored its
// lifetime, orders for that lifetime may have given it the longest lease. The caller holds
// the lock.
func (ow *Owner) earlierRunsEndBy(h *hostPoller) time.Duration {
	lease := ow.leaseDuration()
	if h.mayHoldLongestLease() {
		lease = max(lease, ow.options.MaxLease)
	}
	ow.checkEarlierOwners()
	// The clocks drift for the whole time since the claim.
	return ow.options.ClaimedAt + runsEndWithin(ow.earlierOwners.actUntil(ow.options.ClaimedAt)-ow.options.ClaimedAt+lease)
}

// Reconciled reports whether every run of earlier owners is known or has ended.
func (ow *Owner) Reconciled() bool { return ow.reconciled.Load() }

func (ow *Owner) leaseDuration() time.Duration {
	if ow.options.MaxLease > 0 {
		return min(LeaseDuration, ow.options.MaxLease)
	}
	return LeaseDuration
}

// Acts reports whether the owner sends orders: its authority is valid, it makes
// decisions, and it is not shutting down. It does not wait for a decision.
func (ow *Owner) Acts() bool {
	return ow.authority.valid() && !ow.stopping.Load() && ow.decides(ow.options.Clock.Now())
}

// ReleasedOwnership returns the ownership to be stored after Stop: it is released.
func (ow *Owner) ReleasedOwnership() registry.Ownership {
	o := ow.options.Self
	o.Released, o.Reconciled = true, ow.EarlierOwnersEnded()
	return o
}

// Stop ends the term gracefully: it waits for orders in flight, sends no further
// ones, stores everything that is known, and ends the heartbeats and the renewal of leases.
// It reports whether that was done before ctx ended.
func (ow *Owner) Stop(ctx context.Context) bool {
	ow.mu.Lock()
	ow.stopping.Store(true)
	ow.mu.Unlock()
	if !ow.starts.end(ctx) || !ow.stops.end(ctx) || !ow.storeRounds.waitStored(ctx) || !ow.endHeartbeats(ctx) {
		return false
	}
	// The ownership is released next. A successor that claims counts the leases from its claim.
	ow.authority.revoke()
	return true
}
