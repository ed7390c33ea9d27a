package front

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/peers"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/platform"
)

const (
	// silentAfter is how long the store may take before another node is asked to
	// store the same record. Stored twice it has the same effect.
	silentAfter = 700 * time.Millisecond
	// againAfter is the wait before a refused record is sent again.
	againAfter = 120 * time.Millisecond
	// hopelessAfter is how long a store that refuses all nodes is tried.
	hopelessAfter = time.Second
)

// call is one call of a caller.
type call struct {
	front   *Front
	request *peers.ForwardRequest
	others  Peers
	queue   cell.Queue
	team    string
	id      string
}

func ok(body []byte) *peers.ForwardResponse {
	if body == nil {
		body = []byte("{}")
	}
	return &peers.ForwardResponse{Status: http.StatusOK, Body: body}
}

func (c *call) answer(ctx context.Context) *peers.ForwardResponse {
	if c.id == "" && c.request.Method == http.MethodGet {
		return c.pending()
	}
	if !platform.IsID(c.id) {
		return refused(http.StatusBadRequest, "the path must end with 16 hexadecimal digits")
	}
	switch c.request.Method {
	case http.MethodPost:
		return c.submit(ctx)
	case http.MethodGet:
		return c.state(ctx)
	case http.MethodDelete:
		return c.cancel(ctx)
	default:
		return refused(http.StatusMethodNotAllowed, "the method must be GET, POST or DELETE")
	}
}

func (c *call) pending() *peers.ForwardResponse {
	if !c.front.State.Current() {
		return unavailable("the state of the queue may be old")
	}
	return ok(platform.EncodePending(c.front.State.Pending(c.queue.Name)))
}

func (c *call) submit(ctx context.Context) *peers.ForwardResponse {
	s, err := platform.DecodeSubmission(c.request.Body)
	if err != nil {
		return refused(http.StatusBadRequest, err.Error())
	}
	if e, found := c.front.State.Find(c.id); found {
		if e.Submission.Team != c.team {
			return refused(http.StatusConflict, "another team has a submission with this id")
		}
		return ok(nil)
	}
	s.ID, s.Team, s.Queue, s.Received = c.id, c.team, c.queue.Snapshot(), c.front.Wall()
	return c.store(ctx, registry.SubmissionRecord(&s), "A submission is accepted.", "A submission is not accepted.")
}

func (c *call) cancel(ctx context.Context) *peers.ForwardResponse {
	e, refusal := c.find(ctx)
	if refusal != nil {
		return refusal
	}
	if e.State().Final() {
		return ok(platform.EncodeState(e.State()))
	}
	return c.store(ctx, registry.CancelRecord(c.id), "A submission is cancelled.", "A cancellation is not stored.")
}

// store stores a record, here or through another node, and answers the call.
func (c *call) store(ctx context.Context, r platform.Record, done, failed string) *peers.ForwardResponse {
	log := c.front.Logger.With("id", c.id, "queue", c.queue.Name, "team", c.team)
	a, err := c.settle(ctx, r)
	v := verdict.Of(err)
	switch {
	case a != nil:
		log.Info("Another node answers.", "status", a.Status)
		return a
	case err == nil:
		log.Info(done)
		return ok(nil)
	case v == verdict.DidNotRun:
		log.Warn(failed, "verdict", v.String(), "error", err)
		return unavailable("the platform's store is unavailable")
	default:
		log.Warn(failed, "verdict", v.String(), "error", err)
		return refused(http.StatusGatewayTimeout, "the platform's store has not answered; the outcome is open")
	}
}

// settle tries to store a record until that is known to have happened, the
// store is known to refuse all nodes, or the caller's patience is over. The
// verdict of the error covers every attempt.
func (c *call) settle(ctx context.Context, r platform.Record) (*peers.ForwardResponse, error) {
	begun := time.Now()
	v := verdict.DidNotRun
	var faults []error
	for {
		faults = faults[:0]
		done := make(chan error, 1)
		go func() { done <- c.front.Records.Append(ctx, r) }()
		silent := time.NewTimer(silentAfter)
		var err error
		select {
		case err = <-done:
			silent.Stop()
			if err == nil {
				return nil, nil
			}
			v = v.Merge(verdict.Of(err))
			faults = append(faults, err)
			done = nil
		case <-silent.C:
		}
		if c.others != nil {
			a, forwardErr := c.others.Forward(ctx, c.request)
			if forwardErr == nil && (a.Status == http.StatusOK || done == nil && v == verdict.DidNotRun) {
				return a, nil
			}
			if forwardErr == nil {
				// A refusal by the other node is no answer while the record may
				// still be stored by this one.
				forwardErr = verdict.New(verdict.MayHaveRun, "open", "another node answers %d", a.Status)
			}
			v = v.Merge(verdict.Of(forwardErr))
			faults = append(faults, forwardErr)
		}
		if done != nil {
			if err = <-done; err == nil {
				return nil, nil
			}
			v = v.Merge(verdict.Of(err))
			faults = append(faults, err)
		}
		if ctx.Err() != nil || time.Since(begun) > hopelessAfter {
			return nil, verdict.Wrap(errors.Join(faults...), v, "not-stored")
		}
		time.Sleep(againAfter)
	}
}

// find looks for a submission of the caller's team. The second value is the
// answer if there is none.
func (c *call) find(ctx context.Context) (registry.Entry, *peers.ForwardResponse) {
	e, found := c.front.State.Find(c.id)
	if !found {
		if err := c.front.State.CatchUp(ctx); err != nil {
			return e, unavailable("the state of submissions may be old")
		}
		e, found = c.front.State.Find(c.id)
	}
	if !found {
		return e, refused(http.StatusGone, "no such submission")
	}
	if e.Submission.Team != c.team || e.Submission.Queue.Name != c.queue.Name {
		return e, refused(http.StatusGone, "no such submission of this team in this queue")
	}
	return e, nil
}

func (c *call) state(ctx context.Context) *peers.ForwardResponse {
	e, refusal := c.find(ctx)
	if refusal != nil {
		return refusal
	}
	return ok(platform.EncodeState(e.State()))
}
