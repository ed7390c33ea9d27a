package node

import (
	"context"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/membership"
	"github.com/medlarpulley/medlarpulley/internal/cell/peers"
	"github.com/medlarpulley/medlarpulley/internal/cell/worklog"
	"github.com/medlarpulley/medlarpulley/internal/ctxtime"
)

const (
	// nodesWait is how long the store holds back a read of the topic of nodes, and
	// nodesPace groups the heartbeats of many nodes into few reads. While nodes
	// start, startPace makes them known to each other sooner.
	nodesWait = time.Second
	nodesPace = 2 * time.Second
	startPace = 100 * time.Millisecond
	startFor  = 4 * time.Second
	// followTick is the time between two looks at whether to follow the work topic.
	followTick = 50 * time.Millisecond
	// announceFor bounds the wait for the record of this node, and announcePause is
	// the wait after one that was not stored.
	announceFor   = 5 * time.Second
	announcePause = 400 * time.Millisecond
)

// nodesPacing returns the least time between two reads of the topic of nodes.
func (n *Node) nodesPacing() time.Duration {
	if n.clock.Now() < n.begun+startFor {
		return startPace
	}
	return nodesPace
}

// identity returns what this node tells the others of itself.
func (n *Node) identity() membership.Node {
	self := n.self
	_, read := n.work.AsOf()
	self.Follows = n.following.Load() && read
	self.Left = n.left.Load()
	return self
}

// followers returns the nodes that follow the work topic and are not gone.
func (n *Node) followers() (out []membership.Node) {
	asOf, _ := n.nodes.AsOf()
	for _, other := range n.members.Alive(asOf) {
		if other.Follows {
			out = append(out, other)
		}
	}
	return out
}

// applyNodes applies the records of nodes.
func (n *Node) applyNodes(p worklog.Page) {
	now := n.clock.Now()
	for _, r := range p.Records {
		n.members.Apply(r, now)
	}
	if p.Rebuilt {
		self, known := n.members.Nodes()[n.self.Name]
		n.returning.Store(known && self.Boot != n.self.Boot || n.returning.Load())
	}
	others := make(map[string]peers.Other)
	for _, other := range n.members.Alive(p.AsOf) {
		if other.Name != n.self.Name {
			others[other.Name] = peers.Other{Address: other.Address, Follows: other.Follows}
		}
	}
	n.pool.SetNodes(others)
}

// announce keeps this node known to the others. It begins once the others have
// been read, so that an earlier life of this node is seen.
func (n *Node) announce(ctx context.Context) {
	n.nodes.Ready(ctx)
	failing := false
	for beat := int64(1); ctx.Err() == nil; beat++ {
		self := n.identity()
		self.Beat = beat
		callCtx, cancel := context.WithTimeout(ctx, announceFor)
		err := n.announcer.Append(callCtx, membership.Record(self))
		cancel()
		if err != nil && ctx.Err() == nil {
			if !failing { // a long outage must not fill the log
				n.log.Warn("node: The record of this node is not stored.", "left", self.Left, "error", err)
			}
			failing = true
			ctxtime.Sleep(ctx, announcePause)
			continue
		}
		failing = false
		select {
		case <-ctx.Done():
		case <-n.changed:
		case <-time.After(self.BeatEvery()):
		}
	}
}

// announceNow ends the wait before the next heartbeat.
func (n *Node) announceNow() {
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// followWork follows the work topic from the time on when that is due.
func (n *Node) followWork(ctx context.Context) {
	t := time.NewTicker(followTick)
	defer t.Stop()
	f := membership.Following{Self: n.self}
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		f.Returning = n.returning.Load()
		asOf, read := n.nodes.AsOf()
		if read && f.Due(n.clock.Now(), n.members.Alive(asOf)) {
			break
		}
	}
	n.log.Info("node: This node follows the work topic from now on.", "node", n.self.Name, "power", n.self.Power)
	n.following.Store(true)
	go n.work.Run(ctx)
	go n.elect(ctx)
	if n.work.Ready(ctx) {
		n.announceNow()
	}
}
