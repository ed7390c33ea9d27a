package node

import (
	"context"

	peerv1 "github.com/medlarpulley/medlarpulley/proto/peer/v1"
)

// peerCaller calls other entry nodes by name. Errors carry a verdict.
type peerCaller interface {
	Exchange(ctx context.Context, node string, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error)
	ConfirmOutage(ctx context.Context, node string, req *peerv1.ConfirmOutageRequest) (*peerv1.ConfirmOutageResponse, error)
	AcknowledgeClaim(ctx context.Context, node string, req *peerv1.AcknowledgeClaimRequest) (*peerv1.AcknowledgeClaimResponse, error)
	ReserveRequest(ctx context.Context, node string, req *peerv1.ReserveRequestRequest) (*peerv1.ReserveRequestResponse, error)
	FinishRequest(ctx context.Context, node string, req *peerv1.FinishRequestRequest) (*peerv1.FinishRequestResponse, error)
	LeaseSlots(ctx context.Context, node string, req *peerv1.LeaseSlotsRequest) (*peerv1.LeaseSlotsResponse, error)
	QueryJob(ctx context.Context, node string, req *peerv1.QueryJobRequest) (*peerv1.QueryJobResponse, error)
}
