package node

import (
	"context"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/peers"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/ctxtime"
)

const (
	// ownerProbeSilence is how long the owner has written no record when its process is
	// asked whether it acts, and ownerProbeInterval the wait between two questions.
	ownerProbeSilence  = 500 * time.Millisecond
	ownerProbeInterval = 150 * time.Millisecond
)

// tokenAt is a token and when something became known about it.
type tokenAt struct {
	token int64
	at    time.Duration
}

// probeOwner finds out whether the owner's process has exited and, if it is silent in
// the log, asks it whether it acts, unless a probe is running. The results are stored
// in exitedOwnerInstance and ownerAnswer.
func (n *Node) probeOwner(ctx context.Context, o registry.Ownership, silent bool) {
	if o.Node == "" || o.Node == n.self.Name || n.exitedOwner() == o.InstanceID || !n.probingOwner.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.probingOwner.Store(false)
		if n.pool.RefusesConnections(ctx, o.Node) {
			n.log.Info("election: The owner's machine refuses connections; the owner process has exited.", "owner", o.Node, "boot", o.InstanceID)
			n.exitedOwnerInstance.Store(&o.InstanceID)
			return
		}
		if !silent {
			return
		}
		sent := n.clock.Now()
		acts, err := n.pool.OwnerActs(ctx, o.Node, o.Token)
		if err != nil || !acts {
			n.log.Debug("election: The silent owner does not answer that it acts.", "owner", o.Node, "token", o.Token, "error", err)
			ctxtime.Sleep(ctx, ownerProbeInterval)
			return
		}
		n.mu.Lock()
		n.ownerAnswer = tokenAt{o.Token, sent}
		n.mu.Unlock()
		ctxtime.Sleep(ctx, ownerProbeInterval)
	}()
}

// OwnerStatus implements peers.Handler.
func (n *Node) OwnerStatus(_ context.Context, r *peers.OwnerStatusRequest) (*peers.OwnerStatusResponse, error) {
	n.mu.Lock()
	t := n.term
	n.mu.Unlock()
	return &peers.OwnerStatusResponse{Acts: t != nil && t.claim.owner.Token == r.Token && t.owner.Acts()}, nil
}

// exitedOwner returns the instance ID of the last owner whose process is known to
// have exited, or an empty string.
func (n *Node) exitedOwner() string {
	if b := n.exitedOwnerInstance.Load(); b != nil {
		return *b
	}
	return ""
}
