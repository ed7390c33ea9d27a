package node

import (
	"context"

	"github.com/medlarpulley/medlarpulley/internal/ctxtime"
	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/logclient"
	"github.com/medlarpulley/medlarpulley/internal/ownership"
	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// Drain implements gateway.Backend.
func (n *Node) Drain(context.Context) error {
	n.drainOnce.Do(func() { close(n.drainRequested) })
	return nil
}

// Ready implements gateway.Backend.
func (n *Node) Ready(context.Context) error {
	if n.draining.Load() {
		return refused(gateway.CodeDraining, 0, "this entry node is draining")
	}
	return n.checkConfigFresh()
}

// drain shuts the node down gracefully: it reports not ready, waits for the load
// balancer to notice, lets all requests in flight end, transfers the shards to
// other members, and leaves the cluster.
func (n *Node) drain() {
	n.log.Info("Draining.")
	n.draining.Store(true)
	ctxtime.Sleep(n.ctx, n.settings.Timing.DrainWait)
	ctx, cancel := context.WithTimeout(n.ctx, n.settings.Timing.DrainTimeout)
	defer cancel()
	left := n.requests.Drain(ctx)
	if m, ok := n.replica.Member(n.settings.Node.Name); ok && m.Incarnation == n.incarnation {
		n.leave(ctx)
	}
	_ = n.gateway.Shutdown(ctx)
	n.log.Info("Drained.", "requests_left", left)
}

// leave transfers the shards to other members and leaves the cluster. While the
// log is unavailable it waits, at most until ctx ends, because no other member
// can take over the shards.
func (n *Node) leave(ctx context.Context) {
	n.ownership.handle(ownership.Drain{})
	select {
	case <-n.ownership.leaveReady:
	case <-ctx.Done():
		n.log.Warn("Shards were not transferred before the drain timeout.")
	}
	_, err := n.logClient.Submit(ctx, &ledgerv1.Record{Kind: &ledgerv1.Record_Leave{Leave: &ledgerv1.Leave{}}}, logclient.Immediate)
	if err != nil {
		n.log.Warn("Leave record could not be appended to the log.", "error", err)
	}
}
