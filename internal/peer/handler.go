package peer

import (
	"context"

	peerv1 "github.com/medlarpulley/medlarpulley/proto/peer/v1"
)

// Handler answers the calls of other entry nodes. If it returns a *verdict.Error,
// the caller receives its verdict and code. Methods are called concurrently.
type Handler interface {
	Exchange(context.Context, *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error)
	ConfirmOutage(context.Context, *peerv1.ConfirmOutageRequest) (*peerv1.ConfirmOutageResponse, error)
	AcknowledgeClaim(context.Context, *peerv1.AcknowledgeClaimRequest) (*peerv1.AcknowledgeClaimResponse, error)
	ReserveRequest(context.Context, *peerv1.ReserveRequestRequest) (*peerv1.ReserveRequestResponse, error)
	FinishRequest(context.Context, *peerv1.FinishRequestRequest) (*peerv1.FinishRequestResponse, error)
	LeaseSlots(context.Context, *peerv1.LeaseSlotsRequest) (*peerv1.LeaseSlotsResponse, error)
	HoldCapacity(context.Context, *peerv1.HoldCapacityRequest) (*peerv1.HoldCapacityResponse, error)
	ConfirmHold(context.Context, *peerv1.ConfirmHoldRequest) (*peerv1.ConfirmHoldResponse, error)
	WatchGang(context.Context, *peerv1.WatchGangRequest) (*peerv1.WatchGangResponse, error)
	ReleaseHold(context.Context, *peerv1.ReleaseHoldRequest) (*peerv1.ReleaseHoldResponse, error)
	PreparePublication(context.Context, *peerv1.PreparePublicationRequest) (*peerv1.PreparePublicationResponse, error)
	QueryJob(context.Context, *peerv1.QueryJobRequest) (*peerv1.QueryJobResponse, error)
}

// service adapts a Handler to the generated server interface.
type service struct {
	peerv1.UnsafePeerServer
	Handler
}
