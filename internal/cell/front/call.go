package front

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/acceptance"
	"github.com/medlarpulley/medlarpulley/internal/cell/peers"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/cell/worklog"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/platform"
)

const (
	// appendRetryDelay is the wait before a record that could not be stored is sent
	// again.
	appendRetryDelay = 120 * time.Millisecond
	// appendRetryTimeout is the time after which such a record is not sent again.
	appendRetryTimeout = time.Second
)

// call is one call of a caller, with its queue and team.
type call struct {
	handler *Handler
	request *peers.CallRequest
	// fallback forwards the call to other nodes; nil for a forwarded call.
	fallback Forwarder
	desired  *cell.Desired
	queue    cell.Queue
	caller   cell.Principal
	id       string
}

func okResponse(body []byte) *peers.CallResponse {
	if body == nil {
		body = []byte("{}")
	}
	return &peers.CallResponse{Status: http.StatusOK, Body: body}
}

func (c *call) dispatch(ctx context.Context) *peers.CallResponse {
	if c.id == "" && c.request.Method == http.MethodGet {
		return c.pending()
	}
	if !platform.IsID(c.id) {
		return errorResponse(http.StatusBadRequest, "the path must end with 16 hexadecimal digits")
	}
	switch c.request.Method {
	case http.MethodPost:
		return c.submit(ctx)
	case http.MethodGet:
		return c.state(ctx)
	case http.MethodDelete:
		return c.cancel(ctx)
	default:
		return errorResponse(http.StatusMethodNotAllowed, "the method must be GET, POST or DELETE")
	}
}

func (c *call) pending() *peers.CallResponse {
	if !c.handler.State.SubmissionsFresh() {
		return unavailableResponse("the state of the queue may be out of date")
	}
	belongs := func(accepted *cell.Queue) bool { return c.desired.BelongsTo(accepted, &c.queue) }
	return okResponse(platform.EncodePending(c.handler.State.Pending(belongs)))
}

func (c *call) submit(ctx context.Context) *peers.CallResponse {
	s, err := platform.DecodeSubmission(c.request.Body)
	if err != nil {
		return errorResponse(http.StatusBadRequest, err.Error())
	}
	if e, found := c.handler.State.Find(c.id); found {
		return c.answerRepeated(e)
	}
	s.ID, s.Team, s.KeyHash = c.id, c.caller.Team, c.caller.KeyHash
	s.Queue, s.Received = c.queue.Snapshot(), c.handler.WallClock()
	r := registry.SubmissionRecord(&s)
	if refusal := c.refuseBeyondStorage(ctx, registry.SubmissionBytes(&s, r)); refusal != nil {
		return refusal
	}
	if refusal := c.refuseTooLate(ctx, &s); refusal != nil {
		return refusal
	}
	resp := c.storeRecord(ctx, r, okResponse(nil), "A submission was accepted.", "The append of a submission failed.")
	if resp.Status == http.StatusOK {
		c.acceptReturned()
	}
	return resp
}

// storeRecord stores a record, from this node or through another one, and returns the
// response to the caller: success if this node stored it. storedMessage and failedMessage are
// the log messages.
func (c *call) storeRecord(ctx context.Context, r platform.Record, success *peers.CallResponse, storedMessage, failedMessage string) *peers.CallResponse {
	log := c.handler.Logger.With("id", c.id, "queue", c.queue.Name, "team", c.caller.Team)
	if err := r.Check(); err != nil {
		log.Warn(failedMessage, "error", err)
		return errorResponse(http.StatusRequestEntityTooLarge, err.Error())
	}
	resp, err := c.appendWithFallback(ctx, r)
	v := verdict.Of(err)
	switch {
	case resp != nil:
		log.Info("Another node answered the call.", "status", resp.Status)
		return resp
	case err == nil:
		log.Info(storedMessage)
		return success
	case v == verdict.DidNotRun:
		log.Warn(failedMessage, "verdict", v.String(), "error", err)
		resp := unavailableResponse("the platform's store is unavailable")
		if overload := new(worklog.OverloadError); errors.As(err, &overload) {
			resp.RetryAfterSeconds = int((overload.RetryAfter + time.Second - 1) / time.Second)
		}
		return resp
	default:
		log.Warn(failedMessage, "verdict", v.String(), "error", err)
		return errorResponse(http.StatusGatewayTimeout, "the platform's store did not answer; the outcome is unknown")
	}
}

// appendWithFallback tries to store a record until the record is known to be
// stored, the attempts have failed for appendRetryTimeout, or ctx ends. If the
// store has not answered within acceptance.SecondWayDelay, or refuses, it asks another
// node as well: a record that is stored twice has the same effect as once. The response is that of another node; it is nil if this
// node stored the record. The verdict of the error covers every attempt.
func (c *call) appendWithFallback(ctx context.Context, r platform.Record) (*peers.CallResponse, error) {
	startedAt := time.Now()
	v := verdict.DidNotRun
	var errs []error
	for {
		errs = errs[:0]
		done := make(chan error, 1)
		go func() { done <- c.handler.Records.Append(ctx, r) }()
		hedgeTimer := time.NewTimer(acceptance.SecondWayDelay(c.handler.State.StoreAnswerTime()))
		var err error
		select {
		case err = <-done:
			hedgeTimer.Stop()
			if err == nil {
				return nil, nil
			}
			v = v.Merge(verdict.Of(err))
			errs = append(errs, err)
			done = nil
			if overload := new(worklog.OverloadError); errors.As(err, &overload) {
				return nil, verdict.Wrap(errors.Join(errs...), v, "not-stored")
			}
		case <-hedgeTimer.C:
		}
		if c.fallback != nil {
			request := *c.request
			request.MayBeStored = request.MayBeStored || done != nil || v != verdict.DidNotRun
			resp, forwardErr := c.fallback.Forward(ctx, &request)
			if forwardErr == nil && (resp.Succeeded() || done == nil && v == verdict.DidNotRun) {
				return resp, nil
			}
			if forwardErr == nil {
				// A refusal by the other node cannot be passed on while this
				// node's own append may still succeed.
				forwardErr = verdict.New(verdict.MayHaveRun, "open", "another node answered with status %d", resp.Status)
			}
			v = v.Merge(verdict.Of(forwardErr))
			errs = append(errs, forwardErr)
		}
		if done != nil {
			if err = <-done; err == nil {
				return nil, nil
			}
			v = v.Merge(verdict.Of(err))
			errs = append(errs, err)
		}
		if ctx.Err() != nil || time.Since(startedAt) > appendRetryTimeout {
			return nil, verdict.Wrap(errors.Join(errs...), v, "not-stored")
		}
		time.Sleep(appendRetryDelay)
	}
}
