package node

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/acceptance"
	"github.com/medlarpulley/medlarpulley/internal/cell/config"
	"github.com/medlarpulley/medlarpulley/internal/cell/membership"
	"github.com/medlarpulley/medlarpulley/internal/cell/owner"
	"github.com/medlarpulley/medlarpulley/internal/cell/peers"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/cell/worklog"
	"github.com/medlarpulley/medlarpulley/internal/ctxtime"
	"github.com/medlarpulley/medlarpulley/internal/logging"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/platform"
)

const (
	// electionInterval is the time between two checks whether to claim.
	electionInterval = 40 * time.Millisecond
	// ownerProbeSilence is how long the owner has written no record when its process is
	// asked whether it acts, and ownerProbeInterval the wait between two questions.
	ownerProbeSilence  = 500 * time.Millisecond
	ownerProbeInterval = 150 * time.Millisecond
	// claimTimeout limits the append of a claim.
	claimTimeout = 2 * time.Second
	// unresolvedClaimTimeout is how long this node makes no second claim of the same
	// token while the first one may have been stored.
	unresolvedClaimTimeout = 6 * time.Second
	// claimRetryDelay is the wait after a claim that failed, or lost to another
	// node's.
	claimRetryDelay = 300 * time.Millisecond
	// hostsLongPollTimeout is how long the store may hold a read of the hosts topic
	// open when there is no new record.
	hostsLongPollTimeout = time.Second
	// hostsBatchInterval is the wait after a read of the hosts topic that returned
	// records, so that the next read returns the records of many hosts.
	hostsBatchInterval = 250 * time.Millisecond
	// missingHostTimeout is how long a host still counts as listed after its entry
	// has disappeared from the topic.
	missingHostTimeout = 2500 * time.Millisecond
	// retentionMargin is added to the time for which callers may query the state of
	// finished submissions.
	retentionMargin = 30 * time.Second
	// ownerAppender is the name of owners in the marks of their appends.
	ownerAppender = "owner"
	// maxFirstSequence limits the random sequence number at which a claim starts.
	maxFirstSequence = 1 << 30
)

// claim is an attempt of this node to become the owner of the cell.
type claim struct {
	owner   registry.Ownership
	journal *worklog.Journal
	sentAt  time.Duration
	// previous is the owner that the claim replaces.
	previous registry.Ownership
}

// term is the state of this node while it owns the cell.
type term struct {
	claim       *claim
	owner       *owner.Owner
	cancel      context.CancelFunc
	listedHosts map[string]cell.Host
	// missingSince is when the entry of a listed host was found to be missing.
	missingSince map[string]time.Duration
	// storedHosts are the hosts that have a record in the work topic.
	storedHosts map[string]registry.Host
	// hostsLoaded is set once the owner has received the hosts that were stored
	// before the term.
	hostsLoaded bool
	// done is closed when the term has ended.
	done chan struct{}
}

// runElections checks every electionInterval whether to claim the ownership,
// until ctx ends. It skips the check while this node has not read the work topic
// and the desired state, and during a shutdown.
func (n *Node) runElections(ctx context.Context) {
	e := &election{self: n.self}
	t := time.NewTicker(electionInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		asOf, ok := n.workReader.AsOf()
		if !ok || n.desired.Load() == nil || n.draining.Load() {
			continue
		}
		now := n.clock.Now()
		v := n.electionInput(now, asOf)
		n.probeOwner(ctx, v.owner, e.ownerSilentFor(now, v) >= ownerProbeSilence)
		if n.owner() == nil && e.shouldClaim(now, v) {
			n.tryClaim(ctx, v.owner, v.nextToken())
			e.nextClaimAt = n.clock.Now() + claimRetryDelay
		}
	}
}

// electionInput returns what the election is decided on. asOf is the time up to which
// the work topic has been read.
func (n *Node) electionInput(now, asOf time.Duration) electionInput {
	o, ownerWrites := n.registry.Owner()
	v := electionInput{
		owner: o, ownerWrites: ownerWrites, nodes: n.members.Nodes(), followers: n.followers(), asOf: asOf,
		takeoverToken: n.takeoverToken.Load(), exitedOwnerInstance: n.exitedOwner(), storeAnswerTime: n.storeMeter.AnswerTime(now),
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	v.takenToken, v.takenAt = n.taken.token, n.taken.at
	if n.ownerAnswer.token == o.Token {
		v.ownerActsAt = n.ownerAnswer.at
	}
	return v
}

// tokenAt is a token and when something became known about it.
type tokenAt struct {
	token int64
	at    time.Duration
}

// probeOwner finds out whether the owner's process has exited and, if it is silent in
// the log, asks it whether it acts, unless a probe is running. The results are stored
// in exitedOwnerInstance and ownerAnswer.
func (n *Node) probeOwner(ctx context.Context, o registry.Ownership, silent bool) {
	if o.Node == "" || o.Node == n.self.Name || n.exitedOwner() == o.InstanceID || !n.probingOwner.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.probingOwner.Store(false)
		if n.pool.RefusesConnections(ctx, o.Node) {
			n.log.Info("election: The owner's machine refuses connections; the owner process has exited.", "owner", o.Node, "boot", o.InstanceID)
			n.exitedOwnerInstance.Store(&o.InstanceID)
			return
		}
		if !silent {
			return
		}
		sent := n.clock.Now()
		acts, err := n.pool.OwnerActs(ctx, o.Node, o.Token)
		if err != nil || !acts {
			n.log.Debug("election: The silent owner does not answer that it acts.", "owner", o.Node, "token", o.Token, "error", err)
			ctxtime.Sleep(ctx, ownerProbeInterval)
			return
		}
		n.mu.Lock()
		n.ownerAnswer = tokenAt{o.Token, sent}
		n.mu.Unlock()
		ctxtime.Sleep(ctx, ownerProbeInterval)
	}()
}

// OwnerStatus implements peers.Handler.
func (n *Node) OwnerStatus(_ context.Context, r *peers.OwnerStatusRequest) (*peers.OwnerStatusResponse, error) {
	n.mu.Lock()
	t := n.term
	n.mu.Unlock()
	return &peers.OwnerStatusResponse{Acts: t != nil && t.claim.owner.Token == r.Token && t.owner.Acts()}, nil
}

// exitedOwner returns the instance ID of the last owner whose process is known to
// have exited, or an empty string.
func (n *Node) exitedOwner() string {
	if b := n.exitedOwnerInstance.Load(); b != nil {
		return *b
	}
	return ""
}

// tryClaim appends a claim. The term begins only when the claim is read back,
// since the order of the log decides which of several claims wins.
func (n *Node) tryClaim(ctx context.Context, previous registry.Ownership, token int64) {
	log := logging.WithComponent(n.log, "election")
	firstSequence := 1 + rand.Int64N(maxFirstSequence)
	next := registry.Ownership{Node: n.self.Name, InstanceID: n.self.InstanceID, Token: token, FirstSequence: firstSequence}
	c := &claim{
		owner: next, previous: ownerBefore(token, previous), sentAt: n.clock.Now(),
		journal: worklog.NewJournal(n.workTarget("election", ownerAppender), next.Token, firstSequence, func() { n.requestTakeover(next.Token) }),
	}
	n.mu.Lock()
	if open := n.claim; open != nil && open.owner.Token == next.Token && c.sentAt < open.sentAt+unresolvedClaimTimeout {
		n.mu.Unlock()
		return // the log will show whether that claim was stored
	}
	n.claim = c
	n.mu.Unlock()
	log.Info("This node claims the ownership.", "token", next.Token, "former", previous.Node, "released", previous.Released)
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if err := c.journal.Claim(ctx, registry.OwnershipRecord(next)); err != nil {
		log.Info("The append of the claim failed.", "token", next.Token, "error", err)
		n.mu.Lock()
		if n.claim == c && verdict.Of(err) == verdict.DidNotRun {
			n.claim = nil
		}
		if tokenIsTaken(err) && next.Token > n.taken.token {
			n.taken = tokenAt{next.Token, n.clock.Now()}
		}
		n.mu.Unlock()
	}
}

// ownerBefore returns the owner before a claim of token, given the last one that was
// read. If the claim passes over another node's, that node may have acted, so nothing
// is known to be reconciled.
func ownerBefore(token int64, read registry.Ownership) registry.Ownership {
	if token == read.Token+1 {
		return read
	}
	return registry.Ownership{Node: "unknown", Token: token - 1}
}

// requestTakeover asks the other nodes to take over, since the store has refused
// several appends of this node. At a slow store that concerns all nodes, and a new
// owner would fare no better.
func (n *Node) requestTakeover(token int64) {
	if acceptance.IsSlow(n.StoreAnswerTime()) {
		n.log.Warn("owner: The store is overloaded and refuses appends of the owner.", "token", token)
		return
	}
	n.pool.RequestTakeover(token)
}

// tokenIsTaken reports whether the store refused a claim since it knows another claim
// of the same or a higher token.
func tokenIsTaken(err error) bool {
	var sequence *platform.SequenceError
	return errors.Is(err, platform.ErrFenced) || errors.As(err, &sequence)
}

// onOwnerRecord is called for each ownership record, in the order of the log. It ends
// the term if another node's claim has a higher token, and begins one if the
// record is the claim of this node.
func (n *Node) onOwnerRecord(offset uint64) {
	o, _ := n.registry.Owner()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.term != nil {
		if o.Token > n.term.claim.owner.Token {
			n.endTerm("another owner has claimed")
		}
		return
	}
	c := n.claim
	if c == nil || o.Released || o.InstanceID != n.self.InstanceID || o.FirstSequence != c.owner.FirstSequence {
		return
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
	t := &term{claim: c, cancel: cancel, done: make(chan struct{}), listedHosts: make(map[string]cell.Host), missingSince: make(map[string]time.Duration), storedHosts: n.registry.Hosts()}
	t.owner = owner.New(owner.Options{
		Self: c.owner, Clock: n.clock, WallClock: wallClock, Log: log, Metrics: n.metrics, HostClient: n.hostClient, Advisor: n.pool, Journal: c.journal,
		Desired: n.appliedDesired, Stored: n.registry.All,
		ClaimOffset: offset, ClaimSent: c.sentAt, ClaimedAt: n.clock.Now(),
		EarlierOwnersGone: func() bool { return previousOwnerGone(c.previous, n.self, n.members.Nodes()) },
		MaxLease:          config.Millis(n.settings.Bounds.MaxLeaseMs), RetentionPeriod: config.Seconds(n.settings.Bounds.StatusSeconds) + retentionMargin,
		GangTimeout: config.Millis(n.settings.Bounds.GangTimeoutMs),
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

// previousOwnerGone reports whether no earlier owner can act on hosts any more:
// there was none, or the previous owner had reconciled the runs of the owners
// before it, and has released the ownership or its process was replaced.
func previousOwnerGone(previous registry.Ownership, self membership.Node, nodes map[string]membership.Node) bool {
	if previous.Node == "" {
		return true
	}
	if !previous.Reconciled {
		return false // the owner before the previous one may still act on some host
	}
	other, ok := nodes[previous.Node]
	return previous.Released || previous.Node == self.Name || ok && other.InstanceID != previous.InstanceID
}

// endTerm ends the term. The caller holds n.mu, and n.term is not nil.
func (n *Node) endTerm(reason string) {
	n.log.Info("owner: The term ends.", "token", n.term.claim.owner.Token, "reason", reason)
	n.registry.SetListener(nil)
	n.term.cancel()
	close(n.term.done)
	n.term = nil
}

// followHosts follows the hosts topic of the platform during a term.
func (n *Node) followHosts(ctx context.Context, t *term) {
	f := worklog.NewTopicReader(n.store, n.clock, logging.WithComponent(n.log, "hosts"), worklog.Options{
		Topic: platform.TopicHosts, Wait: hostsLongPollTimeout, BatchInterval: func() time.Duration { return hostsBatchInterval }, Meter: n.storeMeter,
	}, func(p worklog.Page) { n.applyHosts(ctx, t, p) })
	f.Run(ctx)
}

// applyHosts applies records of the hosts topic. After a read of the newest
// records only, every host that is not among them counts as missing.
func (n *Node) applyHosts(ctx context.Context, t *term, p worklog.Page) {
	if p.NewestOnly {
		for id := range t.listedHosts {
			t.markMissing(id, n.clock.Now())
		}
	}
	for _, r := range p.Records {
		if len(r.Value) == 0 {
			t.markMissing(r.Key, n.clock.Now())
			continue
		}
		h, err := platform.DecodeHost(r.Key, r.Value)
		if err != nil {
			n.log.Warn("hosts: The entry of a host is invalid; the host counts as missing.", "error", err)
			t.markMissing(r.Key, n.clock.Now())
			continue
		}
		t.listedHosts[r.Key] = h
		delete(t.missingSince, r.Key)
	}
	t.dropMissing(n.clock.Now())
	n.storeAndSetHosts(ctx, t)
}

// markMissing notes that the entry of a host is missing. The host is not dropped at
// once: entries that expire while the store is unavailable come back soon after if
// the host is alive.
func (t *term) markMissing(id string, now time.Duration) {
	if _, ok := t.listedHosts[id]; !ok {
		return
	}
	if _, ok := t.missingSince[id]; !ok {
		t.missingSince[id] = now
	}
}

// dropMissing drops the hosts whose entries have not come back within
// missingHostTimeout.
func (t *term) dropMissing(now time.Duration) {
	for id, at := range t.missingSince {
		if now > at+missingHostTimeout {
			delete(t.listedHosts, id)
			delete(t.missingSince, id)
		}
	}
}

// storeAndSetHosts passes the listed hosts to the owner. New hosts, and hosts with a
// new address, are stored first, since a later owner has to know on which hosts there
// may be runs.
func (n *Node) storeAndSetHosts(ctx context.Context, t *term) {
	listed := make([]cell.Host, 0, len(t.listedHosts))
	for _, h := range t.listedHosts {
		listed = append(listed, h)
	}
	var records []platform.Record
	for _, h := range listed {
		old, ok := t.storedHosts[h.ID]
		if !ok || old.Spec.Address != h.Address {
			t.storedHosts[h.ID] = registry.Host{Spec: h}
			records = append(records, registry.HostRecord(t.storedHosts[h.ID]))
		}
	}
	slices.SortFunc(listed, func(a, b cell.Host) int { return strings.Compare(a.ID, b.ID) })
	if len(records) > 0 {
		if err := t.claim.journal.Store(ctx, records); err != nil {
			n.log.Warn("hosts: The append of new hosts failed.", "count", len(records), "error", err)
			return
		}
	}
	if t.hostsLoaded {
		known := t.owner.PolledHosts()
		maps.DeleteFunc(t.storedHosts, func(id string, _ registry.Host) bool {
			_, used := t.listedHosts[id]
			return !used && !known[id]
		})
	}
	t.hostsLoaded = true
	t.owner.SetHosts(ctx, t.storedHosts, listed)
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
	stopped := t.owner.Stop(ctx)
	o := t.claim.owner
	o.Released, o.Reconciled = stopped, t.owner.Reconciled()
	if stopped {
		if err := t.claim.journal.Store(ctx, []platform.Record{registry.OwnershipRecord(o)}); err != nil {
			n.log.Warn("owner: The append of the release of the ownership failed.", "error", err)
		}
	}
	n.mu.Lock()
	if n.term == t {
		n.endTerm("released")
	}
	n.mu.Unlock()
}
