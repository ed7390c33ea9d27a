package node

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/config"
	"github.com/medlarpulley/medlarpulley/internal/cell/membership"
	"github.com/medlarpulley/medlarpulley/internal/cell/owner"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/cell/worklog"
	"github.com/medlarpulley/medlarpulley/internal/logging"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/platform"
)

const (
	// electionTick is the time between two looks at the ownership.
	electionTick = 40 * time.Millisecond
	// claimFor bounds an attempt to claim.
	claimFor = 2 * time.Second
	// claimOpenFor is how long a claim that may be stored keeps this node from
	// another one of the same token.
	claimOpenFor = 6 * time.Second
	// claimPause is the wait after a claim that failed or lost.
	claimPause = 300 * time.Millisecond
	// hostsWait is how long the store holds back a read of the list of hosts.
	hostsWait = time.Second
	// hostsPace groups the reports of hosts.
	hostsPace = 250 * time.Millisecond
	// vanishedFor is how long a host counts as listed after its entry is gone.
	vanishedFor = 2500 * time.Millisecond
	// keepMargin is added to the time for which callers may ask for ended work.
	keepMargin = 30 * time.Second
	maxSeq     = 1 << 30
)

// claim is an attempt to own the cell.
type claim struct {
	owner   registry.Owner
	journal *worklog.Journal
	sent    time.Duration
	// former is the owner before.
	former registry.Owner
}

// term is the time in which this node owns the cell.
type term struct {
	claim  *claim
	owner  *owner.Owner
	cancel context.CancelFunc
	hosts  map[string]cell.Host
	// vanished is when the entries of hosts were found to be gone.
	vanished map[string]time.Duration
	// stored are the hosts in the log that this term uses.
	stored map[string]registry.Host
	// loaded is set once the owner has the hosts that were stored before.
	loaded bool
	// ended is closed when the term is over.
	ended chan struct{}
}

// elect claims the ownership whenever it is due.
func (n *Node) elect(ctx context.Context) {
	e := &election{self: n.self}
	t := time.NewTicker(electionTick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		asOf, ok := n.work.AsOf()
		if !ok || n.desired.Load() == nil || n.draining.Load() {
			continue
		}
		o, beats := n.registry.Owner()
		n.probeOwner(ctx, o)
		v := view{ended: n.endedBoot(), owner: o, beats: beats, nodes: n.members.Nodes(), followers: n.followers(), asOf: asOf, yielded: n.yielded.Load()}
		if n.owner() == nil && e.due(n.clock.Now(), v) {
			n.tryClaim(ctx, o)
			e.retryAt = n.clock.Now() + claimPause
		}
	}
}

// probeOwner finds out whether the owner's process has ended, one probe at a time.
func (n *Node) probeOwner(ctx context.Context, o registry.Owner) {
	if o.Node == "" || o.Node == n.self.Name || n.endedBoot() == o.Boot || !n.probing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.probing.Store(false)
		if n.pool.Refuses(ctx, o.Node) {
			n.log.Info("election: The owner's machine refuses connections; its process has ended.", "owner", o.Node, "boot", o.Boot)
			n.ended.Store(&o.Boot)
		}
	}()
}

// endedBoot returns the boot of the last owner whose process is known to have ended.
func (n *Node) endedBoot() string {
	if b := n.ended.Load(); b != nil {
		return *b
	}
	return ""
}

// tryClaim appends a claim. The term begins when the claim is read back, since
// only the log tells which of several claims came first.
func (n *Node) tryClaim(ctx context.Context, former registry.Owner) {
	log := logging.Part(n.log, "election")
	first := 1 + rand.Int64N(maxSeq)
	next := registry.Owner{Node: n.self.Name, Boot: n.self.Boot, Token: former.Token + 1, Claim: first}
	c := &claim{
		owner: next, former: former, sent: n.clock.Now(),
		journal: worklog.NewJournal(n.store, log, platform.TopicWork, next.Token, first, func() { n.pool.Yield(next.Token) }),
	}
	n.mu.Lock()
	if open := n.claim; open != nil && open.owner.Token == next.Token && c.sent < open.sent+claimOpenFor {
		n.mu.Unlock()
		return // the log will tell what became of it
	}
	n.claim = c
	n.mu.Unlock()
	log.Info("The ownership is claimed.", "token", next.Token, "former", former.Node, "released", former.Released)
	ctx, cancel := context.WithTimeout(ctx, claimFor)
	defer cancel()
	if err := c.journal.Claim(ctx, registry.OwnerRecord(next)); err != nil {
		log.Info("The claim was not stored.", "token", next.Token, "error", err)
		n.mu.Lock()
		if n.claim == c && verdict.Of(err) == verdict.DidNotRun {
			n.claim = nil
		}
		n.mu.Unlock()
	}
}

// ownerRead is called for each record of an owner, in the order of the log.
func (n *Node) ownerRead(offset uint64) {
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
	if c == nil || o.Released || o.Boot != n.self.Boot || o.Claim != c.owner.Claim {
		return
	}
	n.claim = nil
	n.beginTerm(c, offset)
}

func (n *Node) beginTerm(c *claim, offset uint64) {
	log := logging.Part(n.log, "owner")
	log.Info("A term as owner begins.", "token", c.owner.Token, "offset", offset, "submissions", n.registry.Len())
	ctx, cancel := context.WithCancel(context.Background())
	t := &term{claim: c, cancel: cancel, ended: make(chan struct{}), hosts: make(map[string]cell.Host), vanished: make(map[string]time.Duration), stored: n.registry.Hosts()}
	t.owner = owner.New(owner.Options{
		Self: c.owner, Clock: n.clock, Wall: wall, Log: log, Metrics: n.metrics, Runners: n.runners, Advisor: n.pool, Journal: c.journal,
		ClaimOffset: offset, ClaimSent: c.sent, ClaimedAt: n.clock.Now(),
		FormerGone: func() bool { return processGone(c.former, n.self, n.members.Nodes()) },
		MaxLease:   config.Millis(n.s.Bounds.MaxLeaseMs), KeepFor: config.Seconds(n.s.Bounds.StatusSeconds) + keepMargin,
		GangTimeout: config.Millis(n.s.Bounds.GangTimeoutMs),
	})
	if d := n.desired.Load(); d != nil {
		t.owner.SetDesired(d.Desired)
	}
	t.owner.Load(n.registry.All())
	n.registry.Listen(t.owner)
	n.term = t
	n.terms.Add(2)
	go func() {
		defer n.terms.Done()
		t.owner.Run(ctx)
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.term == t {
			n.endTerm("deposed")
		}
	}()
	go func() {
		defer n.terms.Done()
		n.followHosts(ctx, t)
	}()
}

// processGone reports whether no earlier owner can act any more: there was none,
// or the former one had settled what came before it, and has given up or its
// process was replaced.
func processGone(former registry.Owner, self membership.Node, nodes map[string]membership.Node) bool {
	if former.Node == "" {
		return true
	}
	if !former.Settled {
		return false // the owner before the former one may still act on some host
	}
	other, ok := nodes[former.Node]
	return former.Released || former.Node == self.Name || ok && other.Boot != former.Boot
}

// endTerm ends the term. The caller holds the lock.
func (n *Node) endTerm(reason string) {
	n.log.Info("owner: The term ends.", "token", n.term.claim.owner.Token, "reason", reason)
	n.registry.Listen(nil)
	n.term.cancel()
	close(n.term.ended)
	n.term = nil
}

// followHosts follows the platform's list of hosts during a term.
func (n *Node) followHosts(ctx context.Context, t *term) {
	f := worklog.NewFollower(n.store, n.clock, logging.Part(n.log, "hosts"), worklog.Options{
		Topic: platform.TopicHosts, Wait: hostsWait, Pace: func() time.Duration { return hostsPace },
	}, func(p worklog.Page) { n.applyHosts(ctx, t, p) })
	f.Run(ctx)
}

func (n *Node) applyHosts(ctx context.Context, t *term, p worklog.Page) {
	if p.Rebuilt {
		for id := range t.hosts {
			t.vanish(id, n.clock.Now())
		}
	}
	for _, r := range p.Records {
		if len(r.Value) == 0 {
			t.vanish(r.Key, n.clock.Now())
			continue
		}
		h, err := platform.DecodeHost(r.Key, r.Value)
		if err != nil {
			n.log.Warn("hosts: An entry names no host to use.", "error", err)
			t.vanish(r.Key, n.clock.Now())
			continue
		}
		t.hosts[r.Key] = h
		delete(t.vanished, r.Key)
	}
	t.expire(n.clock.Now())
	n.useHosts(ctx, t)
}

// vanish notes that the entry of a host is gone. Entries that expire while the
// store is unavailable come back soon after, if the host is alive.
func (t *term) vanish(id string, now time.Duration) {
	if _, ok := t.hosts[id]; !ok {
		return
	}
	if _, ok := t.vanished[id]; !ok {
		t.vanished[id] = now
	}
}

// expire drops hosts whose entries have not come back.
func (t *term) expire(now time.Duration) {
	for id, at := range t.vanished {
		if now > at+vanishedFor {
			delete(t.hosts, id)
			delete(t.vanished, id)
		}
	}
}

// useHosts stores a changed set of hosts before any of them is used: a later
// owner has to know where runs may be.
func (n *Node) useHosts(ctx context.Context, t *term) {
	listed := make([]cell.Host, 0, len(t.hosts))
	for _, h := range t.hosts {
		listed = append(listed, h)
	}
	var records []platform.Record
	for _, h := range listed {
		old, ok := t.stored[h.ID]
		if !ok || old.Spec.Address != h.Address {
			t.stored[h.ID] = registry.Host{Spec: h}
			records = append(records, registry.HostRecord(t.stored[h.ID]))
		}
	}
	slices.SortFunc(listed, func(a, b cell.Host) int { return strings.Compare(a.ID, b.ID) })
	if len(records) > 0 {
		if err := t.claim.journal.Store(ctx, records); err != nil {
			n.log.Warn("hosts: New hosts are not stored.", "count", len(records), "error", err)
			return
		}
	}
	if t.loaded {
		known := t.owner.Known()
		maps.DeleteFunc(t.stored, func(id string, _ registry.Host) bool {
			_, used := t.hosts[id]
			return !used && !known[id]
		})
	}
	t.loaded = true
	t.owner.SetHosts(ctx, t.stored, listed)
}

// handOver asks the other nodes to claim the ownership. This node goes on as
// owner until the log or a host knows the next one, so that work keeps starting.
func (n *Node) handOver() {
	n.mu.Lock()
	t := n.term
	n.mu.Unlock()
	if t == nil || !n.pool.Yield(t.claim.owner.Token) {
		return
	}
	select {
	case <-t.ended:
	case <-time.After(handOverFor):
	}
}

// release ends the term in good order, so that another node can claim at once.
func (n *Node) release(ctx context.Context) {
	n.mu.Lock()
	t := n.term
	n.mu.Unlock()
	if t == nil {
		return
	}
	done := t.owner.Stop(ctx)
	o := t.claim.owner
	o.Released, o.Settled = done, t.owner.Settled()
	if done {
		if err := t.claim.journal.Store(ctx, []platform.Record{registry.OwnerRecord(o)}); err != nil {
			n.log.Warn("owner: The release is not stored.", "error", err)
		}
	}
	n.mu.Lock()
	if n.term == t {
		n.endTerm("released")
	}
	n.mu.Unlock()
}
