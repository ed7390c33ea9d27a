package node

import (
	"context"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/ganghold"
	"github.com/medlarpulley/medlarpulley/internal/scheduler"
	"github.com/medlarpulley/medlarpulley/internal/work"
	peerv1 "github.com/medlarpulley/medlarpulley/proto/peer/v1"
)

// sendGang carries out one action of a coordinator and returns the answer, or
// nil if none is wanted.
func (n *Node) sendGang(job work.JobID, a ganghold.Action) ganghold.Event {
	ctx, cancel := context.WithTimeout(n.ctx, ganghold.CallTimeout)
	defer cancel()
	switch act := a.(type) {
	case ganghold.Hold:
		req := &peerv1.HoldCapacityRequest{
			Node: n.settings.Node.Name, Hold: act.Hold, Shard: act.Shard, Job: string(job), ExpiresMillis: act.For.Milliseconds(),
		}
		resp, err := callOwner(ctx, n, act.Shard, req, n.holdLocal, n.peers.HoldCapacity)
		if err != nil {
			return ganghold.Failed{Call: act.Call}
		}
		return ganghold.Answered{Call: act.Call, OK: resp.Granted}
	case ganghold.Confirm:
		req := &peerv1.ConfirmHoldRequest{Hold: act.Hold, Shard: act.Shard, Job: string(job)}
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
		// Without an answer the hold ends by itself.
		req := &peerv1.ReleaseHoldRequest{Hold: act.Hold, Shard: act.Shard, Job: string(job)}
		_, _ = callOwner(ctx, n, act.Shard, req, n.releaseLocal, n.peers.ReleaseHold)
	}
	return nil
}

// callOwner calls the owner of a shard, which may be this process.
func callOwner[Q, R any](ctx context.Context, n *Node, shard string, req *Q, local func(*Q) *R,
	remote func(context.Context, string, *Q) (*R, error)) (*R, error) {
	claim := n.replica.Claim(shard)
	if claim.Node == n.settings.Node.Name && claim.Incarnation == n.incarnation {
		return local(req), nil
	}
	return remote(ctx, claim.Node, req)
}

// holdLocal holds room in a shard that this process acts for.
func (n *Node) holdLocal(req *peerv1.HoldCapacityRequest) *peerv1.HoldCapacityResponse {
	o := n.shards.get(req.Shard)
	if o == nil {
		return &peerv1.HoldCapacityResponse{Reason: "this node does not act for the shard"}
	}
	validity := min(time.Duration(req.ExpiresMillis)*time.Millisecond, ganghold.HoldFor)
	if !o.run.Hold(work.JobID(req.Job), req.Hold, validity) {
		return &peerv1.HoldCapacityResponse{Reason: "the shard has no room for the part"}
	}
	return &peerv1.HoldCapacityResponse{Granted: true}
}

// confirmLocal lets the tasks of a hold start.
func (n *Node) confirmLocal(req *peerv1.ConfirmHoldRequest) *peerv1.ConfirmHoldResponse {
	o := n.shards.get(req.Shard)
	return &peerv1.ConfirmHoldResponse{Started: o != nil && o.run.ConfirmHold(work.JobID(req.Job), req.Hold)}
}

// releaseLocal gives a hold back.
func (n *Node) releaseLocal(req *peerv1.ReleaseHoldRequest) *peerv1.ReleaseHoldResponse {
	if o := n.shards.get(req.Shard); o != nil {
		o.run.ReleaseHold(work.JobID(req.Job), req.Hold)
	}
	return &peerv1.ReleaseHoldResponse{}
}

// watchLocal returns the state of a part, after it was kept or stopped.
func (n *Node) watchLocal(req *peerv1.WatchGangRequest) *peerv1.WatchGangResponse {
	o, id := n.shards.get(req.Shard), work.JobID(req.Job)
	if o == nil {
		return &peerv1.WatchGangResponse{}
	}
	switch ganghold.Mode(req.Mode) {
	case ganghold.Keep:
		o.run.KeepGang(id)
	case ganghold.Stop:
		o.run.StopGang(id)
	}
	return &peerv1.WatchGangResponse{State: uint32(n.partState(o, id))}
}

// partState returns the state of a part on the wire. A scheduler forgets a
// part that is done, the log does not.
func (n *Node) partState(o *ownedShard, id work.JobID) ganghold.State {
	switch o.run.PartState(id) {
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
