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

// freshCheckInterval is the interval of checks that the configuration is provably
// the latest.
const freshCheckInterval = 250 * time.Millisecond

// checkConfigFresh returns an error if this node cannot prove that its
// configuration is the latest, in which case a key may have been withdrawn
// without its knowledge. A log outage seen by a majority of the members counts
// as proof.
func (n *Node) checkConfigFresh() error {
	if !n.servable.Load() {
		return refused(gateway.CodeNotReady, logRetryAfter, "this entry node has not caught up yet")
	}
	now := n.clock.Now()
	n.peerTracker.mu.Lock()
	fresh, reason := n.peerTracker.tracker.ConfigFresh(now)
	n.peerTracker.mu.Unlock()
	if fresh || n.majorityConfirmsOutage() {
		return nil
	}
	return refused(gateway.CodeNotFresh, logRetryAfter, "this entry node cannot prove that its configuration is the latest: %s", reason)
}

// majorityConfirmsOutage reports whether a majority of the members, this one
// included, cannot reach the log and know of no open publication. A publication
// is announced to a majority before it is appended, so every majority has a
// member that knows of it.
func (n *Node) majorityConfirmsOutage() bool {
	now, unreachable := n.clock.Now(), 1
	if n.announced.any(now, false) {
		return false
	}
	views := n.peerTracker.views()
	for _, v := range views {
		hasReadLog := v.LogContactAge < logclient.Never/2
		if v.HasAnswered && now-v.AnsweredRequestSentAt <= membership.FreshnessPeriod && !v.LogReachable && !v.PublicationOpen && hasReadLog {
			unreachable++
		}
	}
	return n.logUnavailable() && unreachable > max(n.settings.Cluster.Nodes, len(views)+1)/2
}

// logUnavailable reports whether the log has not answered for longer than
// ownership.OutageThreshold.
func (n *Node) logUnavailable() bool {
	return n.logClient.Contact().SinceRead > ownership.OutageThreshold
}

// freshnessLoop pauses task starts while the configuration is not proved to be
// the latest: a limit may have been lowered without this node's knowledge.
func (n *Node) freshnessLoop(ctx context.Context) {
	for ctxtime.Sleep(ctx, freshCheckInterval) {
		stale := n.checkConfigFresh() != nil
		for _, o := range n.shards.all() {
			o.dispatcher.PauseStarts(stale)
		}
	}
}
