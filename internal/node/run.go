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
	// joinRetry is the wait between two attempts to join.
	joinRetry = 500 * time.Millisecond
	// catchUpPoll is how often a starting node looks whether it has caught up.
	catchUpPoll = 20 * time.Millisecond
)

// Run serves until ctx is done or a drain is asked for, then stops as planned.
func (n *Node) Run(ctx context.Context) error {
	n.start()
	select {
	case <-ctx.Done():
	case <-n.drainReq:
	case <-n.ctx.Done():
		if !n.evicted.Load() {
			return nil
		}
		n.Kill()
		return eris.New("this process was evicted from the members")
	}
	n.drain()
	n.Kill()
	return nil
}

// start starts all loops.
func (n *Node) start() {
	n.spawn(func(context.Context) { _ = n.peerServer.Serve(n.peerListener) })
	n.spawn(func(context.Context) { _ = n.gateway.Serve(n.httpListener) })
	n.spawn(func(context.Context) { _ = n.gateway.ServeOperators(n.opsListener) })
	n.spawn(func(ctx context.Context) { _ = n.logClient.Run(ctx) })
	n.spawn(n.shards.loop)
	n.spawn(n.join)
	n.spawn(n.owner.run)
	n.spawn(n.hostLoop)
	n.spawn(n.gossipLoop)
	n.spawn(n.lendLoop)
	n.spawn(n.freshLoop)
	n.spawn(n.gangs.loop)
}

// spawn runs f until the node stops.
func (n *Node) spawn(f func(ctx context.Context)) {
	n.wg.Go(func() { f(n.ctx) })
}

// join waits until the log is read to its end, joins the members, and serves
// once the ledger is as new as that of every peer that can be reached.
func (n *Node) join(ctx context.Context) {
	for !n.logClient.Contact().ReachedEnd {
		if !ctxtime.Sleep(ctx, catchUpPoll) {
			return
		}
	}
	for ctx.Err() == nil && !n.joinOnce(ctx) {
		if !ctxtime.Sleep(ctx, joinRetry) {
			return
		}
	}
	for ctx.Err() == nil && !n.caughtUp() {
		if !ctxtime.Sleep(ctx, catchUpPoll) {
			return
		}
	}
	n.servable.Store(true)
	n.log.Info("Serving.", "http", n.HTTPAddress(), "revision", n.configurations.get().revision)
	n.watchMembership(ctx)
}

// watchMembership ends the process once it is no longer a member. An evicted
// process may have forgotten promises of its membership, so only a new
// incarnation joins again.
func (n *Node) watchMembership(ctx context.Context) {
	for ctxtime.Sleep(ctx, time.Second) {
		m, ok := n.replica.Member(n.settings.Node.Name)
		if n.draining.Load() || (ok && m.Incarnation == n.incarnation) {
			continue
		}
		n.log.Error("This process is no longer a member; it has to be started again.")
		n.evicted.Store(true)
		n.cancel()
		return
	}
}

// joinOnce appends a join and reports whether the node is a member now.
func (n *Node) joinOnce(ctx context.Context) bool {
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
		n.log.Warn("Join was not logged.", "error", err)
		return false
	}
	_, joined := find[ledger.MemberJoined](receipt.Events)
	return joined
}

// caughtUp reports whether this node has read as far as every reachable peer.
func (n *Node) caughtUp() bool {
	n.gossip.mu.Lock()
	defer n.gossip.mu.Unlock()
	return n.gossip.tracker.CaughtUp()
}

// Kill ends the node at once, as if its process had died. Nothing is released.
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
	n.list.Close()
}
