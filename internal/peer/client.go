package peer

import (
	"context"

	peerv1 "github.com/medlarpulley/medlarpulley/proto/peer/v1"
)

// Exchange sends a heartbeat with this node's summary and returns the summary of
// the peer.
func (p *Pool) Exchange(ctx context.Context, node string, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	return call(ctx, p, node, req, peerv1.PeerClient.Exchange)
}

// ConfirmOutage asks a peer whether it cannot reach the log either.
func (p *Pool) ConfirmOutage(ctx context.Context, node string, req *peerv1.ConfirmOutageRequest) (*peerv1.ConfirmOutageResponse, error) {
	return call(ctx, p, node, req, peerv1.PeerClient.ConfirmOutage)
}

// AcknowledgeClaim asks a peer to confirm that it has read a claim.
func (p *Pool) AcknowledgeClaim(ctx context.Context, node string, req *peerv1.AcknowledgeClaimRequest) (*peerv1.AcknowledgeClaimResponse, error) {
	return call(ctx, p, node, req, peerv1.PeerClient.AcknowledgeClaim)
}

// ReserveRequest asks a peer for its vote to dispatch a non-idempotent request.
func (p *Pool) ReserveRequest(ctx context.Context, node string, req *peerv1.ReserveRequestRequest) (*peerv1.ReserveRequestResponse, error) {
	return call(ctx, p, node, req, peerv1.PeerClient.ReserveRequest)
}

// FinishRequest notifies a peer that a non-idempotent request has ended.
func (p *Pool) FinishRequest(ctx context.Context, node string, req *peerv1.FinishRequestRequest) (*peerv1.FinishRequestResponse, error) {
	return call(ctx, p, node, req, peerv1.PeerClient.FinishRequest)
}

// LeaseSlots leases slots of runners from the node that manages them.
func (p *Pool) LeaseSlots(ctx context.Context, node string, req *peerv1.LeaseSlotsRequest) (*peerv1.LeaseSlotsResponse, error) {
	return call(ctx, p, node, req, peerv1.PeerClient.LeaseSlots)
}

// HoldCapacity asks a shard owner for a hold, which reserves capacity for a part
// of a gang until it expires.
func (p *Pool) HoldCapacity(ctx context.Context, node string, req *peerv1.HoldCapacityRequest) (*peerv1.HoldCapacityResponse, error) {
	return call(ctx, p, node, req, peerv1.PeerClient.HoldCapacity)
}

// ConfirmHold allows the tasks of a granted hold to start.
func (p *Pool) ConfirmHold(ctx context.Context, node string, req *peerv1.ConfirmHoldRequest) (*peerv1.ConfirmHoldResponse, error) {
	return call(ctx, p, node, req, peerv1.PeerClient.ConfirmHold)
}

// WatchGang asks a shard owner for the state of a part of a gang, and to keep or
// stop the part if the request says so.
func (p *Pool) WatchGang(ctx context.Context, node string, req *peerv1.WatchGangRequest) (*peerv1.WatchGangResponse, error) {
	return call(ctx, p, node, req, peerv1.PeerClient.WatchGang)
}

// ReleaseHold releases a hold and the capacity that it reserves.
func (p *Pool) ReleaseHold(ctx context.Context, node string, req *peerv1.ReleaseHoldRequest) (*peerv1.ReleaseHoldResponse, error) {
	return call(ctx, p, node, req, peerv1.PeerClient.ReleaseHold)
}

// PreparePublication announces a publication to a peer.
func (p *Pool) PreparePublication(ctx context.Context, node string, req *peerv1.PreparePublicationRequest) (*peerv1.PreparePublicationResponse, error) {
	return call(ctx, p, node, req, peerv1.PeerClient.PreparePublication)
}

// QueryJob asks a shard owner for the state of a job's tasks.
func (p *Pool) QueryJob(ctx context.Context, node string, req *peerv1.QueryJobRequest) (*peerv1.QueryJobResponse, error) {
	return call(ctx, p, node, req, peerv1.PeerClient.QueryJob)
}
