package owner

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/platform"
)

// process is a process that owns the cell for a term. It stands still in its freezes, at the
// next call or reading of its clock outside of the owner's lock.
type process struct {
	s       *simulation
	index   int
	plan    plannedTerm
	self    registry.Ownership
	owner   *Owner
	cancel  context.CancelFunc
	mu      sync.Mutex
	freezes []*plannedFreeze
	// replacedAt is when another process of its node is known, in nanoseconds; zero if never.
	replacedAt   atomic.Int64
	cutFromStore atomic.Bool
	appends      atomic.Int64
	// succeededAt and successorOffset are the time and the offset of the successor's claim, zero
	// before it. The lock of the simulation guards them.
	succeededAt     time.Duration
	successorOffset uint64
}

// currentFreeze returns the freeze of the process now, nil if it runs.
func (p *process) currentFreeze() *plannedFreeze {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.s.now()
	for _, f := range p.freezes {
		switch {
		case !f.contains(now):
		case f.steps > 0:
			f.steps--
			return nil
		default:
			return f
		}
	}
	return nil
}

// pause waits while the process stands still. It reports whether it read its clock before.
func (p *process) pause() (staleClock bool) {
	for f := p.currentFreeze(); f != nil; f = p.currentFreeze() {
		time.Sleep(f.to - p.s.now())
		staleClock = f.staleClock
	}
	return staleClock
}

// Now implements cell.Clock. A process that stands still at a reading holds no lock: virtual
// time would not go on while others wait for it.
func (p *process) Now() time.Duration {
	now := p.s.now()
	if p.owner == nil || !p.owner.mu.TryLock() {
		return now
	}
	p.owner.mu.Unlock()
	if p.pause() {
		return now
	}
	return p.s.now()
}

// Store implements Journal.
func (p *process) Store(ctx context.Context, records []platform.Record) error {
	delays := p.s.plan.storeDelays
	n := int(p.appends.Add(2))
	p.pause()
	if !sleepFor(ctx, delays[n%len(delays)]) {
		return ctx.Err()
	}
	if p.cutFromStore.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	if !p.s.append(p.self.Token, records) {
		p.pause()
		return platform.ErrFenced
	}
	if !sleepFor(ctx, delays[(n+1)%len(delays)]) {
		return ctx.Err()
	}
	p.pause()
	return nil
}

// stored returns what the process has read of the log: its term ends at the successor's claim.
func (p *process) stored() []registry.Entry {
	p.s.mu.Lock()
	claim := p.successorOffset
	p.s.mu.Unlock()
	return slices.DeleteFunc(p.s.log.All(), func(e registry.Entry) bool { return claim != 0 && e.Offset > claim })
}

// run runs the owner, and gives it the host list, until ctx ends.
func (p *process) run(ctx context.Context, stored map[string]registry.Host) {
	p.s.background.Go(func() { p.owner.Run(ctx) })
	if !p.owner.WaitLoaded(ctx) {
		return
	}
	for ctx.Err() == nil {
		p.pause()
		p.owner.SetHosts(ctx, stored, p.s.listed())
		stored = nil
		sleepFor(ctx, hostListInterval)
	}
}

// stop stops the owner gracefully, and stores the release of the ownership.
func (p *process) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	stopped := p.owner.Stop(ctx)
	if stopped {
		o := p.self
		o.Released, o.Reconciled = true, p.owner.Reconciled()
		_ = p.Store(ctx, []platform.Record{registry.OwnershipRecord(o)})
	}
	p.cancel()
}

// isGone reports whether no earlier owner can act, as far as the successor of p knows. previous
// is the last record of p's ownership before the claim.
func (p *process) isGone(previous registry.Ownership) bool {
	if !previous.Reconciled {
		return false
	}
	at := p.replacedAt.Load()
	return previous.Released || at != 0 && p.s.now() >= time.Duration(at)
}

// freeze lets the process stand still for a time.
func (p *process) freeze(f plannedFreeze) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.freezes = append(p.freezes, &f)
}
