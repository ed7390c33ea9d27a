package requests

import (
	"context"

	"github.com/medlarpulley/medlarpulley/internal/router"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	peerv1 "github.com/medlarpulley/medlarpulley/proto/peer/v1"
	"github.com/rotisserie/eris"
)

// maxPeerName bounds the names in the calls of peers, in bytes.
const maxPeerName = 256

// ReserveRequest answers a peer that asks for the right to dispatch an id.
func (s *Server) ReserveRequest(_ context.Context, req *peerv1.ReserveRequestRequest) (*peerv1.ReserveRequestResponse, error) {
	if len(req.Id) > maxPeerName || len(req.Attempt) > maxPeerName || len(req.Team) > maxPeerName {
		return nil, eris.Errorf("a name is longer than %d bytes", maxPeerName)
	}
	view := s.members.View()
	out := &peerv1.ReserveRequestResponse{MembersOffset: view.Offset}
	now := s.clock.Now()
	if !router.CanVote(now, view.Started, view.Founder) {
		out.Abstained = true
		return out, nil
	}
	if req.MembersOffset != view.Offset {
		return out, nil
	}
	shard := s.voter(req.Team, req.Id)
	shard.mu.Lock()
	vote := shard.table.Reserve(now, req.Team, req.Id, req.Attempt)
	shard.mu.Unlock()
	out.Granted, out.Abstained, out.Finished = vote.Granted, vote.Abstained, vote.Finished
	if vote.Finished {
		out.Verdict, out.Body, out.ContentType = vote.End.Verdict.String(), vote.End.Body, vote.End.ContentType
		if !vote.End.Partial {
			out.Status = int32(vote.End.Status)
		}
	}
	return out, nil
}

// FinishRequest records an end that a peer reports.
func (s *Server) FinishRequest(_ context.Context, req *peerv1.FinishRequestRequest) (*peerv1.FinishRequestResponse, error) {
	if len(req.Id) > maxPeerName || len(req.Attempt) > maxPeerName || len(req.Team) > maxPeerName {
		return nil, eris.Errorf("a name is longer than %d bytes", maxPeerName)
	}
	// An unknown verdict reads as may have run.
	v, _ := verdict.Parse(req.Verdict)
	end := router.End{
		Verdict: v, Status: int(req.Status), Body: req.Body, ContentType: req.ContentType, Partial: req.Status == 0,
	}
	shard := s.voter(req.Team, req.Id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.table.Finish(s.clock.Now(), req.Team, req.Id, req.Attempt, end, req.Released)
	return &peerv1.FinishRequestResponse{}, nil
}

// LeaseSlots answers a peer that asks for slots of runners that this node is
// slot keeper of. Runners it does not keep or lend yet are left out.
func (s *Server) LeaseSlots(_ context.Context, req *peerv1.LeaseSlotsRequest) (*peerv1.LeaseSlotsResponse, error) {
	if len(req.Demands) > router.MaxRunners || len(req.Node) > maxPeerName {
		return nil, eris.Errorf("%d demands, at most %d are allowed", len(req.Demands), router.MaxRunners)
	}
	out := &peerv1.LeaseSlotsResponse{}
	for _, d := range req.Demands {
		shard := s.keeper(d.Runner)
		shard.mu.Lock()
		slots, ok := shard.keeper.Lend(s.clock.Now(), req.Node, req.Incarnation, req.Sequence, router.Demand{
			Runner: d.Runner, Want: int(d.Want), InUse: int(d.InUse), Held: int(d.Held), Leaving: d.Leaving,
		})
		leaving := shard.keeper.Leaving(d.Runner)
		shard.mu.Unlock()
		if ok {
			out.Grants = append(out.Grants, &peerv1.SlotGrant{
				Runner: d.Runner, Slots: int32(slots), ExpiresMillis: s.options.Router.LeaseLength.Milliseconds(),
				Leaving: leaving,
			})
		}
	}
	return out, nil
}
