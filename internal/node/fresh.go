package node

import (
	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/membership"
	"github.com/medlarpulley/medlarpulley/internal/ownership"
)

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
// that they do not reach the log.
func (n *Node) outageSeen() bool {
	now, away := n.clock.Now(), 1
	views := n.gossip.views()
	for _, v := range views {
		if v.Heard && now-v.HeardAt <= membership.FreshFor && !v.LogReachable {
			away++
		}
	}
	return n.logAway() && away > max(n.settings.Cluster.Nodes, len(views)+1)/2
}

// logAway reports whether the log has not answered for a while.
func (n *Node) logAway() bool {
	return n.logClient.Contact().SinceRead > ownership.OutageAfter
}
