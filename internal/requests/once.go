package requests

import (
	"context"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/router"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// outcome is how the only attempt of a non-idempotent request ended.
type outcome struct {
	reply *reply
	err   error
}

// nonIdempotent reserves the id and sends the request at most once.
func (x *exchange) nonIdempotent() {
	s := x.server
	sl, err := x.enter(nil)
	if err != nil {
		s.refuse(x.w, x.call.id, err)
		return
	}
	began := s.clock.Now()
	attempt, end, err := s.reserve(x.ctx, x.call)
	if err == nil && end == nil && s.clock.Now()-began > reservationUse {
		s.release(x.call, attempt)
		err = late()
	}
	if err != nil || end != nil {
		sl.done(s.clock.Now(), router.Refused)
		x.repeat(end, err)
		return
	}
	gone := make(chan struct{})
	defer close(gone)
	results := make(chan outcome)
	s.gate.add()
	go func() {
		defer s.gate.leave()
		x.once(sl, attempt, results, gone)
	}()
	select {
	case o := <-results:
		x.finish(sl, attempt, o)
	case <-x.ctx.Done():
		s.refuse(x.w, x.call.id, verdict.New(verdict.MayHaveRun, CodeDeadline, "no answer before the deadline"))
	}
}

func late() error {
	e := verdict.New(verdict.DidNotRun, CodeLateUse, "the node was paused after it reserved the id")
	e.RetryAfterMillis = 10
	return e
}

// once makes the attempt. It goes on when the caller gives up, so that a
// repeat gets the end; a body that still comes from the caller can't.
func (x *exchange) once(sl *slot, attempt string, results chan<- outcome, gone <-chan struct{}) {
	s := x.server
	ctx, cancel := x.ctx, context.CancelFunc(func() {})
	if x.rest == nil {
		ctx, cancel = context.WithTimeout(context.WithoutCancel(x.ctx), s.options.Router.MaxRequestTime)
	}
	stopped := context.AfterFunc(s.ctx, cancel)
	defer stopped()
	rep, err := x.send(ctx, sl)
	switch {
	case err != nil && verdict.Of(err) == verdict.DidNotRun:
		s.release(x.call, attempt)
	case err == nil && rep.refused():
		err = x.runnerRefused(sl, rep)
		s.release(x.call, attempt)
	case err == nil && rep.rest == nil:
		sl.done(s.clock.Now(), rep.result())
		s.finish(x.call, attempt, rep)
	}
	select {
	case results <- outcome{rep, err}:
		// A streamed answer needs the context until its end.
		<-gone
	case <-gone:
		if err == nil && rep.rest != nil {
			rep.rest.Close()
			sl.done(s.clock.Now(), router.Abandoned)
		}
	}
	cancel()
}

// finish tells the caller the outcome.
func (x *exchange) finish(sl *slot, attempt string, o outcome) {
	switch {
	case o.err != nil:
		x.server.refuse(x.w, x.call.id, o.err)
	case o.reply.rest == nil:
		x.whole(o.reply)
	case x.stream(sl, o.reply):
		x.server.finish(x.call, attempt, o.reply)
	default:
		x.abort()
	}
}

// repeat answers a request whose id is not reserved for it.
func (x *exchange) repeat(end *router.End, err error) {
	switch {
	case err != nil:
		x.server.refuse(x.w, x.call.id, err)
	case end.Partial:
		x.server.refuse(x.w, x.call.id, verdict.New(end.Verdict, CodeRanBefore,
			"the request ended before with HTTP %d; its answer was too large to keep", end.Status))
	default:
		x.w.Header().Set(HeaderRepeat, "true")
		rep := &reply{status: end.Status, body: end.Body, verdict: end.Verdict, size: int64(len(end.Body))}
		if end.ContentType != "" {
			rep.header = map[string][]string{"Content-Type": {end.ContentType}}
		}
		x.whole(rep)
	}
}

// HeaderRepeat is "true" in the recorded answer to a repeated request.
const HeaderRepeat = "Medlar-Repeat"

// releaseTime bounds how long a caller waits until its id is free again.
const releaseTime = 250 * time.Millisecond
