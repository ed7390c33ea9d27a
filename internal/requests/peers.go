package requests

import (
	"context"

	peerv1 "github.com/medlarpulley/medlarpulley/proto/peer/v1"
)

// Peers sends calls to other entry nodes, which it addresses by name.
type Peers interface {
	ReserveRequest(ctx context.Context, node string, req *peerv1.ReserveRequestRequest) (*peerv1.ReserveRequestResponse, error)
	FinishRequest(ctx context.Context, node string, req *peerv1.FinishRequestRequest) (*peerv1.FinishRequestResponse, error)
	LeaseSlots(ctx context.Context, node string, req *peerv1.LeaseSlotsRequest) (*peerv1.LeaseSlotsResponse, error)
}
