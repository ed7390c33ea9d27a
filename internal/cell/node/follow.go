package node

import (
	"context"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/membership"
	"github.com/medlarpulley/medlarpulley/internal/cell/peers"
	"github.com/medlarpulley/medlarpulley/internal/cell/worklog"
	"github.com/medlarpulley/medlarpulley/internal/ctxtime"
	"github.com/medlarpulley/medlarpulley/platform"
)

const (
	// nodesLongPollTimeout is how long the store may hold a read of the nodes topic
	// open when there is no new record.
	nodesLongPollTimeout = time.Second
	// nodesSteadyBatchInterval is the wait after a read of the nodes topic that
	// returned records, so that the next read returns the heartbeats of many nodes.
	// During startupPeriod after the start of this process it is
	// nodesStartupBatchInterval, so that nodes that start together discover each other
	// sooner.
	nodesSteadyBatchInterval  = 2 * time.Second
	nodesStartupBatchInterval = 100 * time.Millisecond
	startupPeriod             = 4 * time.Second
	// followCheckInterval is the time between two checks whether this node should
	// follow the work topic.
	followCheckInterval = 50 * time.Millisecond
	// heartbeatAppendTimeout limits an append of a heartbeat, heartbeatRetryDelay is
	// the wait after a failed one.
	heartbeatAppendTimeout = 5 * time.Second
	heartbeatRetryDelay    = 400 * time.Millisecond
)

// nodesBatchInterval returns the wait after a read of the nodes topic that returned
// records.
func (n *Node) nodesBatchInterval() time.Duration {
	if n.clock.Now() < n.startedAt+startupPeriod {
		return nodesStartupBatchInterval
	}
	return nodesSteadyBatchInterval
}

// selfDescription returns the record of this node as other nodes should see it
// now. The node counts as a follower once it has read the work topic.
func (n *Node) selfDescription() membership.Node {
	self := n.selfAsReplacement()
	_, read := n.workReader.AsOf()
	self.Follows = n.following.Load() && read
	self.Left = n.left.Load()
	return self
}

// selfAsReplacement returns this node with the earlier processes that this one has replaced.
func (n *Node) selfAsReplacement() membership.Node {
	self := n.self
	if replaced := n.replaced.Load(); replaced != nil {
		self.Replaced = *replaced
	}
	return self
}

// followers returns the live nodes that follow the work topic.
func (n *Node) followers() (out []membership.Node) {
	asOf, _ := n.nodesReader.AsOf()
	for _, other := range n.members.Alive(asOf) {
		if other.Follows {
			out = append(out, other)
		}
	}
	return out
}

// applyNodes applies records of the nodes topic and passes the live nodes to the
// peer pool.
func (n *Node) applyNodes(p worklog.Page) {
	now := n.clock.Now()
	if p.NewestOnly {
		n.members.BeginNewest(p.Records)
	}
	p.ForEach(n.log, func(r platform.Record) { n.members.Apply(r, now) })
	if p.NewestOnly {
		newest, known := n.members.Nodes()[n.self.Name]
		if known && newest.InstanceID != n.self.InstanceID {
			n.restarted.Store(true)
			self := n.selfAsReplacement().Replacing(newest)
			n.replaced.Store(&self.Replaced)
		}
	}
	others := make(map[string]peers.Peer)
	for _, other := range n.members.Alive(p.AsOf) {
		if other.Name != n.self.Name {
			others[other.Name] = peers.Peer{Address: other.Address, Follows: other.Follows}
		}
	}
	n.pool.SetPeers(others)
}

// sendHeartbeats appends heartbeats of this node until ctx ends. It starts after
// the first read of the nodes topic, since its own record would overwrite that of
// an earlier process of this node, which applyNodes must see.
func (n *Node) sendHeartbeats(ctx context.Context) {
	n.nodesReader.WaitFirstRead(ctx)
	failing := false
	for count := int64(1); ctx.Err() == nil; count++ {
		self := n.selfDescription()
		self.Heartbeat = count
		callCtx, cancel := context.WithTimeout(ctx, heartbeatAppendTimeout)
		err := n.heartbeatAppender.Append(callCtx, membership.Record(self))
		cancel()
		if err != nil && ctx.Err() == nil {
			if !failing { // log only the first failure of a long outage
				n.log.Warn("node: The append of the heartbeat of this node failed.", "left", self.Left, "error", err)
			}
			failing = true
			ctxtime.Sleep(ctx, heartbeatRetryDelay)
			continue
		}
		failing = false
		select {
		case <-ctx.Done():
		case <-n.heartbeatNow:
		case <-time.After(self.HeartbeatInterval()):
		}
	}
}

// triggerHeartbeat makes sendHeartbeats send the next heartbeat without a wait.
func (n *Node) triggerHeartbeat() {
	select {
	case n.heartbeatNow <- struct{}{}:
	default:
	}
}

// followWork waits until this node should follow the work topic, then starts to
// follow it and to take part in elections. It returns after the first read of the
// topic, or when ctx ends.
func (n *Node) followWork(ctx context.Context) {
	t := time.NewTicker(followCheckInterval)
	defer t.Stop()
	policy := membership.FollowPolicy{Self: n.self}
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		policy.Restarted = n.restarted.Load()
		asOf, read := n.nodesReader.AsOf()
		if read && policy.ShouldFollow(n.clock.Now(), n.members.Alive(asOf)) {
			break
		}
	}
	n.log.Info("node: This node starts to follow the work topic.", "node", n.self.Name, "power", n.self.Cores)
	n.following.Store(true)
	go n.workReader.Run(ctx)
	go n.runElections(ctx)
	if n.workReader.WaitFirstRead(ctx) {
		n.triggerHeartbeat()
	}
}
