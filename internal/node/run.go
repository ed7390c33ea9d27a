package node

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarpulley/medlarpulley/internal/ctxtime"
	"github.com/medlarpulley/medlarpulley/internal/ledger"
	"github.com/medlarpulley/medlarpulley/internal/logclient"
	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

const (
	// joinRetryInterval is the wait between two attempts to join.
	joinRetryInterval = 500 * time.Millisecond
	// catchUpPollInterval is the interval at which a starting node checks whether
	// it has caught up with the log and its peers.
	catchUpPollInterval = 20 * time.Millisecond
)

// Run serves until ctx is done or a drain is requested, then drains and stops. It
// returns an error if this process was evicted from the cluster.
func (n *Node) Run(ctx context.Context) error {
	n.start()
	select {
	case <-ctx.Done():
	case <-n.drainRequested:
	case <-n.ctx.Done():
		if !n.evicted.Load() {
			return nil
		}
		n.Kill()
		return eris.New("this process was evicted from the cluster")
	}
	n.drain()
	n.Kill()
	return nil
}

// start starts the servers and the background loops.
func (n *Node) start() {
	n.spawn(func(context.Context) { _ = n.peerServer.Serve(n.peerListener) })
	n.spawn(func(context.Context) { _ = n.gateway.Serve(n.httpListener) })
	n.spawn(func(context.Context) { _ = n.gateway.ServeOperators(n.opsListener) })
	n.spawn(func(ctx context.Context) { _ = n.logClient.Run(ctx) })
	n.spawn(n.shards.loop)
	n.spawn(n.join)
	n.spawn(n.ownership.run)
	n.spawn(n.hostLoop)
	n.spawn(n.membershipLoop)
	n.spawn(n.lendLoop)
	n.spawn(n.freshnessLoop)
	n.spawn(n.gangs.loop)
}

// spawn runs f in a goroutine, with a context that ends when the node stops.
func (n *Node) spawn(f func(ctx context.Context)) {
	n.wg.Go(func() { f(n.ctx) })
}

// join waits until the log is read to its end, joins the cluster, and marks the
// node as ready once its ledger is as recent as that of every reachable peer.
func (n *Node) join(ctx context.Context) {
	for !n.logClient.Contact().ReachedEnd {
		if !ctxtime.Sleep(ctx, catchUpPollInterval) {
			return
		}
	}
	for ctx.Err() == nil && !n.tryJoin(ctx) {
		if !ctxtime.Sleep(ctx, joinRetryInterval) {
			return
		}
	}
	for ctx.Err() == nil && !n.caughtUp() {
		if !ctxtime.Sleep(ctx, catchUpPollInterval) {
			return
		}
	}
	n.servable.Store(true)
	n.log.Info("Serving.", "http", n.HTTPAddress(), "revision", n.configurations.get().revision)
	n.watchMembership(ctx)
}

// watchMembership stops the node once it is no longer a member. An evicted
// process may have lost the commitments that it made as a member, so it must not
// rejoin under the same incarnation.
func (n *Node) watchMembership(ctx context.Context) {
	for ctxtime.Sleep(ctx, time.Second) {
		m, ok := n.replica.Member(n.settings.Node.Name)
		if n.draining.Load() || (ok && m.Incarnation == n.incarnation) {
			continue
		}
		n.log.Error("This process is no longer a member of the cluster; restart it.")
		n.evicted.Store(true)
		n.cancel()
		return
	}
}

// tryJoin appends a join record and reports whether the node is now a member.
func (n *Node) tryJoin(ctx context.Context) bool {
	s := n.settings
	httpAddress, peerAddress := s.Listen.AdvertiseHTTP, s.Listen.AdvertisePeer
	if httpAddress == "" {
		httpAddress = n.httpListener.Addr().String()
	}
	if peerAddress == "" {
		peerAddress = n.peerListener.Addr().String()
	}
	receipt, err := n.logClient.Submit(ctx, &ledgerv1.Record{Kind: &ledgerv1.Record_Join{Join: &ledgerv1.Join{
		Address: peerAddress, HttpAddress: httpAddress, Zone: s.Node.Zone, Region: s.Node.Region, Nodes: int32(s.Cluster.Nodes),
	}}}, logclient.Immediate)
	if err != nil {
		n.log.Warn("Join record could not be appended to the log.", "error", err)
		return false
	}
	_, joined := find[ledger.MemberJoined](receipt.Events)
	return joined
}

// caughtUp reports whether this node has read as far as every reachable peer.
func (n *Node) caughtUp() bool {
	n.peerTracker.mu.Lock()
	defer n.peerTracker.mu.Unlock()
	return n.peerTracker.tracker.CaughtUp()
}

// Kill stops the node immediately. It releases no shards. After a drain it is the
// last step of Run; without one it is as if the process had died.
func (n *Node) Kill() {
	n.cancel()
	n.peerServer.Stop()
	_ = n.gateway.Close()
	n.shards.stopAll()
	n.requests.Close()
	n.wg.Wait()
	n.peers.Close()
	n.workers.Close()
	n.runners.Close()
	n.logService.Close()
	n.hostList.Close()
}
