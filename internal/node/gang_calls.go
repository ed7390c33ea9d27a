package node

import (
	"context"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/ganghold"
	"github.com/medlarpulley/medlarpulley/internal/scheduler"
	"github.com/medlarpulley/medlarpulley/internal/work"
	peerv1 "github.com/medlarpulley/medlarpulley/proto/peer/v1"
)

// performGangAction performs one action of a gang coordinator and returns its
// result as an event, or nil if the action has no result.
func (n *Node) performGangAction(job work.JobID, a ganghold.Action) ganghold.Event {
	ctx, cancel := context.WithTimeout(n.ctx, ganghold.CallTimeout)
	defer cancel()
	switch act := a.(type) {
	case ganghold.Hold:
		req := &peerv1.HoldCapacityRequest{
			Node: n.settings.Node.Name, Hold: act.HoldID, Shard: act.Shard, Job: string(job), ExpiresMillis: act.Validity.Milliseconds(),
		}
		resp, err := callOwner(ctx, n, act.Shard, req, n.holdLocal, n.peers.HoldCapacity)
		if err != nil {
			return ganghold.Failed{Call: act.Call}
		}
		return ganghold.Answered{Call: act.Call, OK: resp.Granted}
	case ganghold.Confirm:
		req := &peerv1.ConfirmHoldRequest{Hold: act.HoldID, Shard: act.Shard, Job: string(job)}
		resp, err := callOwner(ctx, n, act.Shard, req, n.confirmLocal, n.peers.ConfirmHold)
		if err != nil {
			return ganghold.Failed{Call: act.Call}
		}
		return ganghold.Answered{Call: act.Call, OK: resp.Started}
	case ganghold.Watch:
		req := &peerv1.WatchGangRequest{Job: string(job), Shard: act.Shard, Mode: uint32(act.Mode)}
		resp, err := callOwner(ctx, n, act.Shard, req, n.watchLocal, n.peers.WatchGang)
		if err != nil {
			return ganghold.Failed{Call: act.Call}
		}
		return ganghold.Watched{Call: act.Call, State: ganghold.State(resp.State)}
	case ganghold.Release:
		// The error is ignored: a hold that is not released expires.
		req := &peerv1.ReleaseHoldRequest{Hold: act.HoldID, Shard: act.Shard, Job: string(job)}
		_, _ = callOwner(ctx, n, act.Shard, req, n.releaseLocal, n.peers.ReleaseHold)
	}
	return nil
}

// callOwner calls the owner of a shard. If this process is the owner, it calls
// local instead of remote.
func callOwner[Q, R any](ctx context.Context, n *Node, shard string, req *Q, local func(*Q) *R,
	remote func(context.Context, string, *Q) (*R, error)) (*R, error) {
	claim := n.replica.Claim(shard)
	if claim.Node == n.settings.Node.Name && claim.Incarnation == n.incarnation {
		return local(req), nil
	}
	return remote(ctx, claim.Node, req)
}

// holdLocal reserves capacity for a part of a gang in a shard that this process
// owns.
func (n *Node) holdLocal(req *peerv1.HoldCapacityRequest) *peerv1.HoldCapacityResponse {
	o := n.shards.get(req.Shard)
	if o == nil {
		return &peerv1.HoldCapacityResponse{Reason: "this node does not act for the shard"}
	}
	validity := min(time.Duration(req.ExpiresMillis)*time.Millisecond, ganghold.HoldValidity)
	if !o.dispatcher.Hold(work.JobID(req.Job), req.Hold, validity) {
		return &peerv1.HoldCapacityResponse{Reason: "the shard has no room for the part"}
	}
	return &peerv1.HoldCapacityResponse{Granted: true}
}

// confirmLocal allows the tasks of a hold to start.
func (n *Node) confirmLocal(req *peerv1.ConfirmHoldRequest) *peerv1.ConfirmHoldResponse {
	o := n.shards.get(req.Shard)
	return &peerv1.ConfirmHoldResponse{Started: o != nil && o.dispatcher.ConfirmHold(work.JobID(req.Job), req.Hold)}
}

// releaseLocal releases a hold and the capacity that it reserves.
func (n *Node) releaseLocal(req *peerv1.ReleaseHoldRequest) *peerv1.ReleaseHoldResponse {
	if o := n.shards.get(req.Shard); o != nil {
		o.dispatcher.ReleaseHold(work.JobID(req.Job), req.Hold)
	}
	return &peerv1.ReleaseHoldResponse{}
}

// watchLocal applies the mode of the request, which keeps or stops the part of a
// gang, and returns the state of the part.
func (n *Node) watchLocal(req *peerv1.WatchGangRequest) *peerv1.WatchGangResponse {
	o, id := n.shards.get(req.Shard), work.JobID(req.Job)
	if o == nil {
		return &peerv1.WatchGangResponse{}
	}
	switch ganghold.Mode(req.Mode) {
	case ganghold.AllRunning:
		o.dispatcher.MarkGangRunning(id)
	case ganghold.Stop:
		o.dispatcher.StopGang(id)
	}
	return &peerv1.WatchGangResponse{State: uint32(n.partState(o, id))}
}

// partState returns the state of a part of a gang as sent to peers. The scheduler
// drops a part that is done, so the outcomes in the ledger decide then.
func (n *Node) partState(o *ownedShard, id work.JobID) ganghold.State {
	switch o.dispatcher.PartState(id) {
	case scheduler.PartIdle:
		return ganghold.Idle
	case scheduler.PartRunning:
		return ganghold.Running
	case scheduler.PartMixed:
		return ganghold.Mixed
	case scheduler.PartDone:
		return ganghold.Done
	}
	job, ok := n.replica.Job(id)
	if !ok {
		return ganghold.Unknown
	}
	for _, p := range job.Parts {
		for i := p.First; p.Shard == o.name && i < p.First+p.Count; i++ {
			if job.Outcome(i) == work.Pending {
				return ganghold.Unknown
			}
		}
	}
	return ganghold.Done
}
