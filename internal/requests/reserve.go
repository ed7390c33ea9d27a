package requests

import (
	"context"
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/router"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	peerv1 "github.com/medlarpulley/medlarpulley/proto/peer/v1"
)

// reserveTries bounds the counts when members differ between nodes.
const reserveTries = 3

// reserve asks a majority for the id of a request. It returns the attempt
// that may be dispatched, or the recorded end, or an error with a verdict.
func (s *Server) reserve(ctx context.Context, c *call) (attempt string, end *router.End, err error) {
	for n := 1; ; n++ {
		view := s.members.View()
		attempt = s.unique()
		count := s.collect(ctx, c, view, attempt)
		switch count.Decide() {
		case router.Reserved:
			return attempt, nil, nil
		case router.Ended:
			return "", &count.End, nil
		case router.HeldElsewhere:
			s.release(c, attempt)
			e := verdict.New(verdict.MayHaveRun, CodeHeld, "another attempt holds the id and may have run")
			e.RetryAfterMillis = 1000
			return "", nil, e
		case router.MembersDiffer:
			s.release(c, attempt)
			if n < reserveTries {
				continue
			}
			return "", nil, unreserved(CodeMembers, "the members are changing")
		default:
			s.release(c, attempt)
			return "", nil, unreserved(CodeNoMajority, "no majority of the entry nodes granted the id; this attempt was not sent")
		}
	}
}

func unreserved(code, text string) error {
	e := verdict.New(verdict.DidNotRun, code, "%s", text)
	e.RetryAfterMillis = 500
	return e
}

type ballot struct {
	member string
	vote   router.Vote
}

// collect collects votes until they decide or time is up.
func (s *Server) collect(ctx context.Context, c *call, view View, attempt string) *router.Reservation {
	count := router.NewReservation(view.Configured, len(view.Voters), view.Offset)
	req := &peerv1.ReserveRequestRequest{
		Node: view.Self, Incarnation: view.Incarnation, Id: c.id, Attempt: attempt,
		MembersOffset: view.Offset, Team: c.team.Name,
	}
	ballots := make(chan ballot, len(view.Voters))
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.options.PeerTimeout)
	defer cancel()
	for _, member := range view.Voters {
		if member == view.Self {
			resp, _ := s.ReserveRequest(ctx, req)
			ballots <- ballot{member, voteOf(resp)}
			continue
		}
		s.gate.add()
		go func() {
			defer s.gate.leave()
			resp, err := s.peers.ReserveRequest(callCtx, member, req)
			if err != nil {
				ballots <- ballot{member, router.Vote{Abstained: true}}
				return
			}
			ballots <- ballot{member, voteOf(resp)}
		}()
	}
	for range view.Voters {
		select {
		case b := <-ballots:
			count.Vote(b.member, b.vote)
		case <-callCtx.Done():
			return closed(count, view)
		}
		if count.Decide() != router.Undecided {
			return count
		}
	}
	return closed(count, view)
}

// closed counts members that did not answer in time as abstaining.
func closed(count *router.Reservation, view View) *router.Reservation {
	for _, member := range view.Voters {
		count.Vote(member, router.Vote{Abstained: true})
	}
	return count
}

func voteOf(r *peerv1.ReserveRequestResponse) router.Vote {
	vote := router.Vote{Granted: r.Granted, Abstained: r.Abstained, MembersOffset: r.MembersOffset, Finished: r.Finished}
	if r.Finished {
		// An unknown verdict reads as may have run.
		v, _ := verdict.Parse(r.Verdict)
		vote.End = router.End{
			Verdict: v, Status: int(r.Status), Body: r.Body, ContentType: r.ContentType, Partial: r.Status == 0,
		}
	}
	return vote
}

// finish records how a request ended, here at once and at the other voters
// in the background.
func (s *Server) finish(c *call, attempt string, rep *reply) {
	req := &peerv1.FinishRequestRequest{
		Id: c.id, Attempt: attempt, Team: c.team.Name, Verdict: rep.verdict.String(),
	}
	if rep.rest == nil && len(rep.body) <= router.MaxEndBody {
		req.Status, req.Body, req.ContentType = int32(rep.status), rep.body, rep.header.Get("Content-Type")
	}
	s.tell(req, 0)
}

// release gives an id back after an attempt that certainly did not run.
func (s *Server) release(c *call, attempt string) {
	s.tell(&peerv1.FinishRequestRequest{
		Id: c.id, Attempt: attempt, Team: c.team.Name, Verdict: verdict.DidNotRun.String(), Released: true,
	}, releaseTime)
}

// tell sends an end to all voters and waits for them for a time.
func (s *Server) tell(req *peerv1.FinishRequestRequest, wait time.Duration) {
	view := s.members.View()
	ctx, cancel := context.WithTimeout(s.ctx, s.options.PeerTimeout)
	told := make(chan struct{}, len(view.Voters))
	others := 0
	var calls sync.WaitGroup
	for _, member := range view.Voters {
		if member == view.Self {
			_, _ = s.FinishRequest(ctx, req)
			continue
		}
		others++
		s.gate.add()
		calls.Go(func() {
			defer s.gate.leave()
			// A lost end leaves the id held: a repeat is told "may have run".
			_, _ = s.peers.FinishRequest(ctx, member, req)
			told <- struct{}{}
		})
	}
	if others == 0 {
		cancel()
		return
	}
	s.gate.add()
	go func() {
		defer s.gate.leave()
		calls.Wait()
		cancel()
	}()
	if wait == 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for range others {
		select {
		case <-told:
		case <-timer.C:
			return
		}
	}
}
