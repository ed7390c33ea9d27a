package node

import (
	"context"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/config"
	"github.com/medlarpulley/medlarpulley/internal/cell/owner"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/cell/schedule"
	"github.com/medlarpulley/medlarpulley/internal/logging"
	"github.com/medlarpulley/medlarpulley/platform"
)

// retentionMargin is added to the time for which callers may query the state of
// finished submissions.
const retentionMargin = 30 * time.Second

// term is the state of this node while it owns the cell.
type term struct {
	claim       *claim
	owner       *owner.Owner
	cancel      context.CancelFunc
	listedHosts map[string]cell.Host
	entries     hostEntries
	// missingSince is when the entry of a listed host was found to be missing.
	missingSince map[string]time.Duration
	// storedHosts are the hosts that were stored before the term, until the owner has
	// received them.
	storedHosts map[string]registry.Host
	// done is closed when the term has ended.
	done chan struct{}
}

// endFormerTerm ends the term if the claim of another node has a higher token. It is called
// after an ownership record has been applied, or those of a page of newest records.
func (n *Node) endFormerTerm() {
	o, _ := n.registry.Owner()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.term != nil && o.Token > n.term.claim.owner.Token {
		n.endTerm("another owner has claimed")
	}
}

// beginClaimedTerm begins a term if the ownership record at offset is the claim of this node.
// Everything that was stored before the claim has been applied.
func (n *Node) beginClaimedTerm(offset uint64) {
	o, _ := n.registry.Owner()
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.claim
	if n.term != nil || c == nil || o.Released || o.InstanceID != n.self.InstanceID || o.FirstSequence != c.owner.FirstSequence {
		return
	}
	if offset != n.registry.OwnerOffset() {
		return // an older record, read again after the newest one
	}
	if n.registry.HasAhead() {
		return // a submission that may precede the claim is not passed on yet
	}
	n.claim = nil
	n.beginTerm(c, offset)
}

// beginTerm makes this node the owner, with the claim that was read at offset. It does
// not wait for the owner, since the goroutine that reads the work topic calls it. The
// caller holds n.mu.
func (n *Node) beginTerm(c *claim, offset uint64) {
	log := logging.WithComponent(n.log, "owner")
	log.Info("A term as owner begins.", "token", c.owner.Token, "offset", offset, "submissions", n.registry.Len())
	ctx, cancel := context.WithCancel(context.Background())
	previous := n.previousOwner(c)
	t := &term{claim: c, cancel: cancel, done: make(chan struct{}), listedHosts: make(map[string]cell.Host), missingSince: make(map[string]time.Duration), storedHosts: n.registry.Hosts()}
	t.owner = owner.New(owner.Options{
		Self: c.owner, Clock: n.clock, WallClock: wallClock, Log: log, Metrics: n.metrics, HostClient: n.hostClient, Advisor: n.pool, Journal: c.journal,
		Desired: n.appliedDesired, Evacuated: n.evacuatedZones, EvacuationBound: config.Millis(n.settings.Bounds.EvacuationMs),
		WorkAsOf: n.workReader.AsOf, CancelBound: config.Millis(n.settings.Bounds.CancelMs),
		RequestTakeover: func() { n.requestTakeoverForReads(c.owner.Token) }, Stored: n.registry.All, TombstoneKeys: n.registry.TombstoneKeys, RunTimes: n.registry.RunTimes, Applied: n.registry.Applied,
		ClaimOffset: offset, ClaimSent: c.sentAt, ClaimedAt: n.clock.Now(),
		EarlierOwnersGone: func() bool { return previousOwnerGone(previous, n.selfAsReplacement(), n.members.Nodes()) },
		EarlierOwner: func() owner.EarlierOwner {
			return describePreviousOwner(previous, n.selfAsReplacement(), n.members.Nodes())
		},
		MaxLease: config.Millis(n.settings.Bounds.MaxLeaseMs), RetentionPeriod: config.Seconds(n.settings.Bounds.StatusSeconds) + retentionMargin,
		GangTimeout: config.Millis(n.settings.Bounds.GangTimeoutMs), MaxWeight: owner.MaxWeight(n.settings.Limits.MemoryBytes()),
		Features: features(n.settings.Scheduling), Admission: n.settings.Scheduling.Admission,
	})
	n.registry.SetListener(t.owner)
	n.term = t
	n.termGoroutines.Add(2)
	go func() {
		defer n.termGoroutines.Done()
		t.owner.Run(ctx)
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.term == t {
			n.endTerm("deposed")
		}
	}()
	go func() {
		defer n.termGoroutines.Done()
		if t.owner.WaitLoaded(ctx) {
			n.followHosts(ctx, t)
		}
	}()
}

// features returns the features of the scheduler that the settings switch on.
func features(s config.Scheduling) schedule.Features {
	return schedule.Features{LearnRunTimes: s.LearnRunTimes, GangCapacity: s.GangCapacity, FairShares: s.FairShares, Admission: s.Admission}
}

// endTerm ends the term. The caller holds n.mu, and n.term is not nil.
func (n *Node) endTerm(reason string) {
	n.log.Info("owner: The term ends.", "token", n.term.claim.owner.Token, "reason", reason)
	n.registry.SetListener(nil)
	n.term.cancel()
	close(n.term.done)
	n.term = nil
}

// abortTerm ends the term after a fault at which the state of the owner may have been
// changed in part.
func (n *Node) abortTerm() {
	if o := n.owner(); o != nil {
		o.Abort("a page of the work topic cannot be applied")
	}
}

// handOver asks the other nodes to claim the ownership, and waits until the term
// ends or handOverTimeout has passed. Meanwhile this node remains the owner until
// the next owner appears in the log or at a host, so that work keeps starting.
func (n *Node) handOver() {
	n.mu.Lock()
	t := n.term
	n.mu.Unlock()
	if t == nil || !n.pool.RequestTakeover(t.claim.owner.Token) {
		return
	}
	select {
	case <-t.done:
	case <-time.After(handOverTimeout):
	}
}

// release stops the owner, stores that the ownership is released, and ends the
// term. Another node can then claim without waiting for ownerSilenceTimeout.
func (n *Node) release(ctx context.Context) {
	n.mu.Lock()
	t := n.term
	n.mu.Unlock()
	if t == nil {
		return
	}
	if t.owner.Stop(ctx) {
		if err := t.claim.journal.Store(ctx, []platform.Record{registry.OwnershipRecord(t.owner.ReleasedOwnership())}); err != nil {
			n.log.Warn("owner: The append of the release of the ownership failed.", "error", err)
		}
	}
	n.mu.Lock()
	if n.term == t {
		n.endTerm("released")
	}
	n.mu.Unlock()
}
