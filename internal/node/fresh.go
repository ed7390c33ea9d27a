package node

import (
	"context"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/ctxtime"
	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/logclient"
	"github.com/medlarpulley/medlarpulley/internal/membership"
	"github.com/medlarpulley/medlarpulley/internal/ownership"
)

// freshInterval is how often the proof of the configuration is looked at.
const freshInterval = 250 * time.Millisecond

// provedFresh fails if this node cannot prove that its configuration is the
// last one, so that a key may have been withdrawn without its knowledge. An
// outage of the log that a majority of the members see counts as proof.
func (n *Node) provedFresh() error {
	if !n.servable.Load() {
		return refused(gateway.CodeNotReady, retryAfterLog, "this entry node has not caught up yet")
	}
	now := n.clock.Now()
	n.gossip.mu.Lock()
	fresh, reason := n.gossip.tracker.ConfigFresh(now)
	n.gossip.mu.Unlock()
	if fresh || n.outageSeen() {
		return nil
	}
	return refused(gateway.CodeNotFresh, retryAfterLog, "this entry node cannot prove that its configuration is fresh: %s", reason)
}

// outageSeen reports whether a majority of the members, this one included, say
// that they do not reach the log and know of no publication that may be in it.
// A publication is announced to a majority before it is appended, so one of
// any majority knows of it.
func (n *Node) outageSeen() bool {
	now, away := n.clock.Now(), 1
	if n.announced.any(now, false) {
		return false
	}
	views := n.gossip.views()
	for _, v := range views {
		read := v.LogAge < logclient.Never/2
		if v.Heard && now-v.HeardAt <= membership.FreshFor && !v.LogReachable && !v.PublicationOpen && read {
			away++
		}
	}
	return n.logAway() && away > max(n.settings.Cluster.Nodes, len(views)+1)/2
}

// logAway reports whether the log has not answered for a while.
func (n *Node) logAway() bool {
	return n.logClient.Contact().SinceRead > ownership.OutageAfter
}

// freshLoop stops the starts of tasks while the configuration is not proved to
// be the last one: a limit may have been lowered without this node's knowledge.
func (n *Node) freshLoop(ctx context.Context) {
	for ctxtime.Sleep(ctx, freshInterval) {
		stale := n.provedFresh() != nil
		for _, o := range n.shards.all() {
			o.run.PauseStarts(stale)
		}
	}
}
