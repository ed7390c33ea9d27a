package node

import (
	"context"
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/homing"
	"github.com/medlarpulley/medlarpulley/internal/ledger"
	"github.com/medlarpulley/medlarpulley/internal/logclient"
	"github.com/medlarpulley/medlarpulley/internal/membership"
	"github.com/medlarpulley/medlarpulley/internal/ownership"
	"github.com/medlarpulley/medlarpulley/internal/resource"
	peerv1 "github.com/medlarpulley/medlarpulley/proto/peer/v1"
)

const (
	// membershipTickInterval is the interval of the time events sent to the
	// membership tracker.
	membershipTickInterval = 200 * time.Millisecond
	// exchangeTimeout is the timeout of one exchange with a peer.
	exchangeTimeout = 900 * time.Millisecond
)

// peerTracker guards the membership tracker, which follows the state of the
// peers.
type peerTracker struct {
	mu      sync.Mutex
	tracker *membership.Tracker
}

// views returns the latest known state of the peers.
func (t *peerTracker) views() []membership.View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.Views()
}

// handle passes one event to the tracker and returns its actions.
func (t *peerTracker) handle(now time.Duration, e membership.Event) []membership.Action {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.Handle(now, e)
}

// membershipLoop sends the members, contact with the log and time events to the
// membership tracker.
func (n *Node) membershipLoop(ctx context.Context) {
	ticker := time.NewTicker(membershipTickInterval)
	defer ticker.Stop()
	last := logclient.Never
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n.handleMembershipEvent(membership.PeersChanged{Peers: peersOf(n.replica.Members())})
		contact := n.logClient.Contact()
		if contact.SinceRead < last && contact.ReachedEnd {
			n.handleMembershipEvent(membership.LogRead{ReadOffset: n.replica.NextOffset(), Revision: n.configurations.get().revision})
		}
		last = contact.SinceRead
		n.handleMembershipEvent(membership.Tick{})
	}
}

// peersOf converts members of the ledger to peers of the membership tracker.
func peersOf(members []ledger.Member) []membership.Peer {
	out := make([]membership.Peer, 0, len(members))
	for _, m := range members {
		out = append(out, membership.Peer{Node: m.Node, Incarnation: m.Incarnation})
	}
	return out
}

// handleMembershipEvent passes one event to the membership tracker and performs
// its actions.
func (n *Node) handleMembershipEvent(e membership.Event) {
	for _, a := range n.peerTracker.handle(n.clock.Now(), e) {
		switch act := a.(type) {
		case membership.Exchange:
			go n.exchange(act)
		case membership.StatusChanged:
			n.log.Info("Peer changed status.", "peer", act.Node, "status", act.Status.String())
		}
	}
}

// exchange performs one heartbeat exchange with a peer and reports the result to
// the tracker.
func (n *Node) exchange(act membership.Exchange) {
	ctx, cancel := context.WithTimeout(n.ctx, exchangeTimeout)
	defer cancel()
	if act.NewConnection {
		_ = n.peers.Reset(act.To)
	}
	resp, err := n.peers.Exchange(ctx, act.To, n.summary())
	if err != nil {
		n.handleMembershipEvent(membership.ExchangeFailed{To: act.To, ID: act.ID})
		return
	}
	n.handleMembershipEvent(membership.ExchangeAnswered{To: act.To, ID: act.ID, Response: resp})
	n.ownership.handle(ownership.PeersDraining{Nodes: n.drainingPeers()})
}

// drainingPeers returns the names of the peers that are draining.
func (n *Node) drainingPeers() []string {
	n.peerTracker.mu.Lock()
	defer n.peerTracker.mu.Unlock()
	return n.peerTracker.tracker.Draining()
}

// summary returns the state that this node sends to its peers.
func (n *Node) summary() *peerv1.ExchangeRequest {
	contact := n.logClient.Contact()
	out := &peerv1.ExchangeRequest{
		Node: n.settings.Node.Name, Incarnation: n.incarnation, ReadOffset: n.replica.NextOffset(),
		Revision: n.configurations.get().revision, LogReachable: contact.ReachedEnd && contact.SinceRead < ownership.OutageThreshold,
		Draining: n.draining.Load(), LogContactAgeMillis: contact.SinceRead.Milliseconds(),
		PublicationOpen: n.announced.any(n.clock.Now(), !n.logUnavailable()),
	}
	scarce := n.scarceLimits()
	for _, o := range n.shards.all() {
		out.Shards = append(out.Shards, shardSummary(o, n.clock.Now(), scarce))
	}
	return out
}

// scarceLimits returns the limits for which some shard needs more units than it
// has. The unused units of a shard matter only for these limits; sending all
// limits of all shards takes 10 KB per exchange with 68 teams.
func (n *Node) scarceLimits() map[string]bool {
	out := map[string]bool{}
	for _, o := range n.shards.all() {
		for name, use := range o.summary(n.clock.Now()).Limits {
			if use.Used+use.Waiting > use.Allotted {
				out[name] = true
			}
		}
	}
	for _, v := range n.peerTracker.views() {
		for _, s := range v.Shards {
			for _, d := range s.Demand {
				if d.Used+d.Waiting > d.Allotted {
					out[d.Limit] = true
				}
			}
		}
	}
	return out
}

// shardSummary returns the summary of one owned shard that is sent to peers.
func shardSummary(o *ownedShard, now time.Duration, scarce map[string]bool) *peerv1.ShardSummary {
	s := o.summary(now)
	shard := &peerv1.ShardSummary{
		Shard: o.name, Token: o.token, Free: resources(s.Free), LargestFree: resources(s.LargestFree),
		LargestHost: resources(s.LargestHost), Capacity: resources(s.Capacity), WaitingTasks: int32(s.Waiting),
	}
	for name, use := range s.Limits {
		if use.Used+use.Waiting > use.Allotted || (scarce[name] && use.Allotted > 0) {
			shard.Demand = append(shard.Demand, &peerv1.TeamDemand{Limit: name, Allotted: use.Allotted, Used: use.Used, Waiting: use.Waiting})
		}
	}
	return shard
}

// shardInfos returns the latest summary of each shard for choosing the home
// shards of a job.
func (n *Node) shardInfos() []homing.ShardSummary {
	summaries := n.summary().Shards
	for _, v := range n.peerTracker.views() {
		if v.Status != membership.Unreachable {
			summaries = append(summaries, v.Shards...)
		}
	}
	newest := map[string]*peerv1.ShardSummary{}
	for _, s := range summaries {
		if known := newest[s.Shard]; known == nil || s.Token > known.Token {
			newest[s.Shard] = s
		}
	}
	out := make([]homing.ShardSummary, 0, len(newest))
	for name, s := range newest {
		out = append(out, homing.ShardSummary{
			Name: name, Zone: n.hosts.zoneOf(name), Region: n.hosts.regionOf(name), Owned: true,
			Capacity: vector(s.Capacity), Free: vector(s.Free), LargestFree: vector(s.LargestFree),
			LargestHost: vector(s.LargestHost), Waiting: int64(s.WaitingTasks),
		})
	}
	return out
}

func resources(v resource.Vector) *peerv1.Resources {
	return &peerv1.Resources{MilliCpu: v.MilliCPU, MemoryMib: v.MemoryMiB, Accelerators: v.Accelerators}
}

func vector(r *peerv1.Resources) resource.Vector {
	return resource.Vector{MilliCPU: r.GetMilliCpu(), MemoryMiB: r.GetMemoryMib(), Accelerators: r.GetAccelerators()}
}
