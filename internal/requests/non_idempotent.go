package requests

import (
	"context"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/router"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// outcome is the result of the only attempt of a non-idempotent request.
type outcome struct {
	reply *reply
	err   error
}

// serveNonIdempotent reserves the request id and sends the request at most once.
func (x *servedRequest) serveNonIdempotent() {
	s := x.server
	sl, err := x.acquireSlot(nil)
	if err != nil {
		s.writeError(x.w, x.call.id, err)
		return
	}
	began := s.clock.Now()
	attempt, end, err := s.reserveID(x.ctx, x.call)
	if err == nil && end == nil && s.clock.Now()-began > reservationUseTimeout {
		s.releaseID(x.call, attempt)
		err = reservationExpired()
	}
	if err != nil || end != nil {
		sl.release(s.clock.Now(), router.NotRun)
		x.writeReservationResult(end, err)
		return
	}
	handlerDone := make(chan struct{})
	defer close(handlerDone)
	results := make(chan outcome)
	s.inFlight.add()
	go func() {
		defer s.inFlight.done()
		x.attemptOnce(sl, attempt, results, handlerDone)
	}()
	select {
	case o := <-results:
		x.writeOutcome(sl, attempt, o)
	case <-x.ctx.Done():
		s.writeError(x.w, x.call.id, verdict.New(verdict.MayHaveRun, CodeDeadline, "no response before the deadline"))
	}
}

func reservationExpired() error {
	e := verdict.New(verdict.DidNotRun, CodeReservationExpired, "the reservation of the request id expired before dispatch; the entry node was paused")
	e.RetryAfterMillis = 10
	return e
}

// attemptOnce makes the attempt. It continues when the caller disconnects or its
// deadline passes, so that a repeated request gets the recorded response. An
// attempt whose body is still streamed from the caller can't continue.
func (x *servedRequest) attemptOnce(sl *slot, attempt string, results chan<- outcome, handlerDone <-chan struct{}) {
	s := x.server
	ctx, cancel := x.ctx, context.CancelFunc(func() {})
	if x.remainder == nil {
		ctx, cancel = context.WithTimeout(context.WithoutCancel(x.ctx), s.options.Router.MaxRequestTime)
	}
	stopAfterFunc := context.AfterFunc(s.ctx, cancel)
	defer stopAfterFunc()
	rep, err := x.send(ctx, sl)
	switch {
	case err != nil && verdict.Of(err) == verdict.DidNotRun:
		s.releaseID(x.call, attempt)
	case err == nil && rep.refused():
		err = x.endRefusedAttempt(sl, rep)
		s.releaseID(x.call, attempt)
	case err == nil && rep.remainder == nil:
		sl.release(s.clock.Now(), rep.result())
		s.recordEnd(x.call, attempt, rep)
	}
	select {
	case results <- outcome{rep, err}:
		// A streamed response needs the context until it has been forwarded.
		<-handlerDone
	case <-handlerDone:
		if err == nil && rep.remainder != nil {
			rep.remainder.Close()
			sl.release(s.clock.Now(), router.Abandoned)
		}
	}
	cancel()
}

// writeOutcome writes the outcome of the attempt to the caller.
func (x *servedRequest) writeOutcome(sl *slot, attempt string, o outcome) {
	switch {
	case o.err != nil:
		x.server.writeError(x.w, x.call.id, o.err)
	case o.reply.remainder == nil:
		x.writeBuffered(o.reply)
	case x.writeStreamed(sl, o.reply):
		x.server.recordEnd(x.call, attempt, o.reply)
	default:
		x.abortConnection()
	}
}

// writeReservationResult answers a request whose id was not reserved for it: with
// the error, or with the recorded result of an earlier request with this id.
func (x *servedRequest) writeReservationResult(end *router.RecordedResult, err error) {
	switch {
	case err != nil:
		x.server.writeError(x.w, x.call.id, err)
	case end.Partial:
		x.server.writeError(x.w, x.call.id, verdict.New(end.Verdict, CodeRanBefore,
			"the request already ended (HTTP status %d, 0 if not stored); its response was not stored", end.Status))
	default:
		x.w.Header().Set(HeaderRepeat, "true")
		rep := &reply{status: end.Status, body: end.Body, verdict: end.Verdict, size: int64(len(end.Body))}
		if end.ContentType != "" {
			rep.header = map[string][]string{"Content-Type": {end.ContentType}}
		}
		x.writeBuffered(rep)
	}
}

// HeaderRepeat is "true" in a recorded response to a repeated request.
const HeaderRepeat = "Medlar-Repeat"

// releaseTimeout bounds how long a caller waits until the voters have released
// its request id.
const releaseTimeout = 250 * time.Millisecond
