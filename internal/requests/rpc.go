package requests

import (
	"context"

	"github.com/medlarpulley/medlarpulley/internal/router"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	peerv1 "github.com/medlarpulley/medlarpulley/proto/peer/v1"
	"github.com/rotisserie/eris"
)

// maxPeerNameBytes bounds each node, team, id and attempt name in a peer's call.
const maxPeerNameBytes = 256

// ReserveRequest returns this node's vote on a peer's reservation of a request id.
// It fails if a name in req is too long.
func (s *Server) ReserveRequest(_ context.Context, req *peerv1.ReserveRequestRequest) (*peerv1.ReserveRequestResponse, error) {
	if len(req.Id) > maxPeerNameBytes || len(req.Attempt) > maxPeerNameBytes || len(req.Team) > maxPeerNameBytes {
		return nil, eris.Errorf("the id, attempt or team is longer than %d bytes", maxPeerNameBytes)
	}
	view := s.members.View()
	out := &peerv1.ReserveRequestResponse{MembersOffset: view.Offset}
	now := s.clock.Now()
	if !router.CanVote(now, view.Started, view.InitialMember) {
		out.Abstained = true
		return out, nil
	}
	if req.MembersOffset != view.Offset {
		return out, nil
	}
	partition := s.voterPartitionOf(req.Team, req.Id)
	partition.mu.Lock()
	vote := partition.table.Reserve(now, req.Team, req.Id, req.Attempt)
	partition.mu.Unlock()
	out.Granted, out.Abstained, out.Finished = vote.Granted, vote.Abstained, vote.Finished
	if vote.Finished {
		out.Verdict, out.Body, out.ContentType = vote.End.Verdict.String(), vote.End.Body, vote.End.ContentType
		if !vote.End.Partial {
			out.Status = int32(vote.End.Status)
		}
	}
	return out, nil
}

// FinishRequest records the end of a request that a peer reports. It fails if a
// name in req is too long.
func (s *Server) FinishRequest(_ context.Context, req *peerv1.FinishRequestRequest) (*peerv1.FinishRequestResponse, error) {
	if len(req.Id) > maxPeerNameBytes || len(req.Attempt) > maxPeerNameBytes || len(req.Team) > maxPeerNameBytes {
		return nil, eris.Errorf("the id, attempt or team is longer than %d bytes", maxPeerNameBytes)
	}
	// Parse returns MayHaveRun for an unknown verdict.
	v, _ := verdict.Parse(req.Verdict)
	end := router.RecordedResult{
		Verdict: v, Status: int(req.Status), Body: req.Body, ContentType: req.ContentType, Partial: req.Status == 0,
	}
	partition := s.voterPartitionOf(req.Team, req.Id)
	partition.mu.Lock()
	defer partition.mu.Unlock()
	partition.table.Finish(s.clock.Now(), req.Team, req.Id, req.Attempt, end, req.Released)
	return &peerv1.FinishRequestResponse{}, nil
}

// LeaseSlots grants a peer slots of the runners that this node is the lease
// manager of. Runners of other lease managers, and runners whose slots it does
// not lease out yet, are left out of the response. It fails if req has too many
// demands or the peer's name is too long.
func (s *Server) LeaseSlots(_ context.Context, req *peerv1.LeaseSlotsRequest) (*peerv1.LeaseSlotsResponse, error) {
	if len(req.Demands) > router.MaxRunners || len(req.Node) > maxPeerNameBytes {
		return nil, eris.Errorf("%d demands, at most %d are allowed", len(req.Demands), router.MaxRunners)
	}
	out := &peerv1.LeaseSlotsResponse{}
	for _, d := range req.Demands {
		partition := s.leaseManagerPartitionOf(d.Runner)
		partition.mu.Lock()
		slots, ok := partition.manager.HandleDemand(s.clock.Now(), req.Node, req.Incarnation, req.Sequence, router.Demand{
			Runner: d.Runner, Want: int(d.Want), InUse: int(d.InUse), Held: int(d.Held), Leaving: d.Leaving,
		})
		leaving := partition.manager.Leaving(d.Runner)
		partition.mu.Unlock()
		if ok {
			out.Grants = append(out.Grants, &peerv1.SlotGrant{
				Runner: d.Runner, Slots: int32(slots), ExpiresMillis: s.options.Router.LeaseLength.Milliseconds(),
				Leaving: leaving,
			})
		}
	}
	return out, nil
}
