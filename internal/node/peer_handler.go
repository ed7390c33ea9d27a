package node

import (
	"context"

	"github.com/medlarpulley/medlarpulley/internal/membership"
	"github.com/medlarpulley/medlarpulley/internal/ownership"
	"github.com/medlarpulley/medlarpulley/internal/work"
	peerv1 "github.com/medlarpulley/medlarpulley/proto/peer/v1"
)

// peerHandler answers calls of the other entry nodes.
type peerHandler struct {
	node *Node
}

// Exchange records the summary of a peer and answers with the summary of this
// node.
func (h *peerHandler) Exchange(_ context.Context, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	h.node.handleMembershipEvent(membership.RequestReceived{Request: req})
	s := h.node.summary()
	return &peerv1.ExchangeResponse{
		Node: s.Node, Incarnation: s.Incarnation, ReadOffset: s.ReadOffset, Revision: s.Revision, LogReachable: s.LogReachable,
		Draining: s.Draining, Shards: s.Shards, LogContactAgeMillis: s.LogContactAgeMillis, PublicationOpen: s.PublicationOpen,
	}, nil
}

// ConfirmOutage answers whether this node cannot reach the log either.
func (h *peerHandler) ConfirmOutage(ctx context.Context, req *peerv1.ConfirmOutageRequest) (*peerv1.ConfirmOutageResponse, error) {
	reply, err := h.node.ownership.query(ctx, func(id uint64) ownership.Event {
		return ownership.ConfirmRequested{
			ID: id, From: ownership.Identity{Node: req.Node, Incarnation: req.Incarnation}, Shards: shardTokens(req.Shards),
		}
	})
	if err != nil {
		return nil, err
	}
	r, _ := reply.(ownership.ConfirmReply)
	resp := &peerv1.ConfirmOutageResponse{Confirmed: r.Confirmed, Reason: r.Reason}
	for _, t := range r.Superseded {
		resp.Superseded = append(resp.Superseded, &peerv1.ShardToken{Shard: t.Shard, Token: t.Token})
	}
	return resp, nil
}

// AcknowledgeClaim answers whether this node has read a claim.
func (h *peerHandler) AcknowledgeClaim(ctx context.Context, req *peerv1.AcknowledgeClaimRequest) (*peerv1.AcknowledgeClaimResponse, error) {
	reply, err := h.node.ownership.query(ctx, func(id uint64) ownership.Event {
		return ownership.AckRequested{ID: id, From: req.Node, ShardToken: ownership.ShardToken{Shard: req.Shard, Token: req.Token}}
	})
	if err != nil {
		return nil, err
	}
	r, _ := reply.(ownership.AckReply)
	return &peerv1.AcknowledgeClaimResponse{Acknowledged: r.Acknowledged, ReadOffset: r.ReadOffset}, nil
}

// ReserveRequest answers with this node's vote on the reservation of a request.
func (h *peerHandler) ReserveRequest(ctx context.Context, req *peerv1.ReserveRequestRequest) (*peerv1.ReserveRequestResponse, error) {
	return h.node.requests.ReserveRequest(ctx, req)
}

// FinishRequest records that a request has ended.
func (h *peerHandler) FinishRequest(ctx context.Context, req *peerv1.FinishRequestRequest) (*peerv1.FinishRequestResponse, error) {
	return h.node.requests.FinishRequest(ctx, req)
}

// LeaseSlots leases slots of runners to a peer.
func (h *peerHandler) LeaseSlots(ctx context.Context, req *peerv1.LeaseSlotsRequest) (*peerv1.LeaseSlotsResponse, error) {
	return h.node.requests.LeaseSlots(ctx, req)
}

// QueryJob answers a query about a job in a shard that this node owns.
func (h *peerHandler) QueryJob(_ context.Context, req *peerv1.QueryJobRequest) (*peerv1.QueryJobResponse, error) {
	return h.node.queryLocal(work.JobID(req.Job), req.Shard, req.Explain), nil
}

// HoldCapacity reserves capacity for a part of a gang in a shard of this node.
func (h *peerHandler) HoldCapacity(_ context.Context, req *peerv1.HoldCapacityRequest) (*peerv1.HoldCapacityResponse, error) {
	return h.node.holdLocal(req), nil
}

// ConfirmHold allows the tasks of a hold to start.
func (h *peerHandler) ConfirmHold(_ context.Context, req *peerv1.ConfirmHoldRequest) (*peerv1.ConfirmHoldResponse, error) {
	return h.node.confirmLocal(req), nil
}

// WatchGang keeps or stops a part of a gang if requested, and answers with its
// state.
func (h *peerHandler) WatchGang(_ context.Context, req *peerv1.WatchGangRequest) (*peerv1.WatchGangResponse, error) {
	return h.node.watchLocal(req), nil
}

// ReleaseHold releases a hold and the capacity that it reserves.
func (h *peerHandler) ReleaseHold(_ context.Context, req *peerv1.ReleaseHoldRequest) (*peerv1.ReleaseHoldResponse, error) {
	return h.node.releaseLocal(req), nil
}
