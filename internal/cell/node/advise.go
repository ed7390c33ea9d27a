package node

import (
	"context"
	"errors"

	"github.com/medlarpulley/medlarpulley/internal/cell/advice"
	"github.com/medlarpulley/medlarpulley/internal/cell/peers"
)

// Advise implements peers.Handler: it calls the advice service for the owner.
func (n *Node) Advise(ctx context.Context, r *peers.AdviseRequest) (*peers.AdviseResponse, error) {
	tickets, err := n.advice.Ask(ctx, advice.Call{Token: r.Token, Group: r.Group, Hosts: r.Hosts, Duration: r.Duration})
	var busy *advice.BusyError
	switch {
	case errors.As(err, &busy):
		return &peers.AdviseResponse{Refusal: advice.RefusedBusy, FreeIn: busy.FreeIn}, nil
	case errors.Is(err, advice.ErrStale):
		return &peers.AdviseResponse{Refusal: advice.RefusedStale}, nil
	}
	return &peers.AdviseResponse{Tickets: tickets}, err
}
