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
	n.drainOne.Do(func() { close(n.drainReq) })
	return nil
}

// Ready implements gateway.Backend.
func (n *Node) Ready(context.Context) error {
	if n.draining.Load() {
		return refused(gateway.CodeDraining, 0, "this entry node is draining")
	}
	return n.provedFresh()
}

// drain stops as planned: readiness goes first, the balancer gets time, every
// request in flight ends, the shards are handed over, and the node leaves.
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

// leave hands the shards over and leaves the members. While the log is away it
// waits, because nobody else can take the shards over.
func (n *Node) leave(ctx context.Context) {
	n.owner.handle(ownership.Drain{})
	select {
	case <-n.owner.ready:
	case <-ctx.Done():
		n.log.Warn("Shards were not handed over in time.")
	}
	_, err := n.logClient.Submit(ctx, &ledgerv1.Record{Kind: &ledgerv1.Record_Leave{Leave: &ledgerv1.Leave{}}}, logclient.Immediate)
	if err != nil {
		n.log.Warn("Leave was not logged.", "error", err)
	}
}
