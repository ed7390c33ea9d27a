package requests

import (
	"context"
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/router"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	peerv1 "github.com/medlarpulley/medlarpulley/proto/peer/v1"
)

// maxReserveRounds bounds the rounds of voting while the nodes disagree about
// the members.
const maxReserveRounds = 3

// reserveID reserves the id of a request at a majority of the voters. It returns
// the name of the attempt that may be sent, or the recorded end of an earlier
// request with this id, or an error with a verdict.
func (s *Server) reserveID(ctx context.Context, c *call) (attempt string, end *router.RecordedResult, err error) {
	for n := 1; ; n++ {
		view := s.members.View()
		attempt = s.uniqueName()
		tally := s.collectVotes(ctx, c, view, attempt)
		switch tally.Decide() {
		case router.Reserved:
			return attempt, nil, nil
		case router.AlreadyFinished:
			return "", &tally.End, nil
		case router.ReservedElsewhere:
			s.releaseID(c, attempt)
			e := verdict.New(verdict.MayHaveRun, CodeIDInUse, "another attempt has reserved the request id and may have run")
			e.RetryAfterMillis = 1000
			return "", nil, e
		case router.MembersDiffer:
			s.releaseID(c, attempt)
			if n < maxReserveRounds {
				continue
			}
			return "", nil, notReserved(CodeMembersChanging, "the entry nodes disagree about their members; a membership change is in progress")
		default:
			s.releaseID(c, attempt)
			return "", nil, notReserved(CodeNoMajority, "no majority of the entry nodes granted the request id; this attempt was not sent")
		}
	}
}

func notReserved(code, text string) error {
	e := verdict.New(verdict.DidNotRun, code, "%s", text)
	e.RetryAfterMillis = 500
	return e
}

type memberVote struct {
	member string
	vote   router.Vote
}

// collectVotes collects votes until they are decisive or PeerTimeout passes.
func (s *Server) collectVotes(ctx context.Context, c *call, view View, attempt string) *router.Reservation {
	tally := router.NewReservation(view.Configured, len(view.Voters), view.Offset)
	req := &peerv1.ReserveRequestRequest{
		Node: view.Self, Incarnation: view.Incarnation, Id: c.id, Attempt: attempt,
		MembersOffset: view.Offset, Team: c.team.Name,
	}
	votes := make(chan memberVote, len(view.Voters))
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.options.PeerTimeout)
	defer cancel()
	for _, member := range view.Voters {
		if member == view.Self {
			resp, _ := s.ReserveRequest(ctx, req)
			votes <- memberVote{member, voteFromResponse(resp)}
			continue
		}
		s.inFlight.add()
		go func() {
			defer s.inFlight.done()
			resp, err := s.peers.ReserveRequest(callCtx, member, req)
			if err != nil {
				votes <- memberVote{member, router.Vote{Abstained: true}}
				return
			}
			votes <- memberVote{member, voteFromResponse(resp)}
		}()
	}
	for range view.Voters {
		select {
		case b := <-votes:
			tally.Vote(b.member, b.vote)
		case <-callCtx.Done():
			return countMissingVotes(tally, view)
		}
		if tally.Decide() != router.Undecided {
			return tally
		}
	}
	return countMissingVotes(tally, view)
}

// countMissingVotes counts voters that did not respond in time as abstaining.
func countMissingVotes(tally *router.Reservation, view View) *router.Reservation {
	for _, member := range view.Voters {
		tally.Vote(member, router.Vote{Abstained: true})
	}
	return tally
}

func voteFromResponse(r *peerv1.ReserveRequestResponse) router.Vote {
	vote := router.Vote{Granted: r.Granted, Abstained: r.Abstained, MembersOffset: r.MembersOffset, Finished: r.Finished}
	if r.Finished {
		// Parse returns MayHaveRun for an unknown verdict.
		v, _ := verdict.Parse(r.Verdict)
		vote.End = router.RecordedResult{
			Verdict: v, Status: int(r.Status), Body: r.Body, ContentType: r.ContentType, Partial: r.Status == 0,
		}
	}
	return vote
}

// recordEnd records how a request ended: on this node before it returns, at the
// other voters in the background. A response that is too large to store is
// recorded without status and body.
func (s *Server) recordEnd(c *call, attempt string, rep *reply) {
	req := &peerv1.FinishRequestRequest{
		Id: c.id, Attempt: attempt, Team: c.team.Name, Verdict: rep.verdict.String(),
	}
	if rep.remainder == nil && len(rep.body) <= router.MaxRecordedBody {
		req.Status, req.Body, req.ContentType = int32(rep.status), rep.body, rep.header.Get("Content-Type")
	}
	s.sendEnd(req, 0)
}

// releaseID releases the reservation of an id after an attempt that provably did
// not run.
func (s *Server) releaseID(c *call, attempt string) {
	s.sendEnd(&peerv1.FinishRequestRequest{
		Id: c.id, Attempt: attempt, Team: c.team.Name, Verdict: verdict.DidNotRun.String(), Released: true,
	}, releaseTimeout)
}

// sendEnd sends an end to all voters and waits up to timeout until they have
// responded. With a zero timeout it does not wait.
func (s *Server) sendEnd(req *peerv1.FinishRequestRequest, timeout time.Duration) {
	view := s.members.View()
	ctx, cancel := context.WithTimeout(s.ctx, s.options.PeerTimeout)
	acknowledged := make(chan struct{}, len(view.Voters))
	remoteVoters := 0
	var calls sync.WaitGroup
	for _, member := range view.Voters {
		if member == view.Self {
			_, _ = s.FinishRequest(ctx, req)
			continue
		}
		remoteVoters++
		s.inFlight.add()
		calls.Go(func() {
			defer s.inFlight.done()
			// If the message is lost, the id stays reserved at that voter, and a
			// repeated request is answered with may have run.
			_, _ = s.peers.FinishRequest(ctx, member, req)
			acknowledged <- struct{}{}
		})
	}
	if remoteVoters == 0 {
		cancel()
		return
	}
	s.inFlight.add()
	go func() {
		defer s.inFlight.done()
		calls.Wait()
		cancel()
	}()
	if timeout == 0 {
		return
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for range remoteVoters {
		select {
		case <-acknowledged:
		case <-timer.C:
			return
		}
	}
}
