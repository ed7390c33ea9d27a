package requests

import (
	"errors"

	"github.com/medlarpulley/medlarpulley/internal/platform/runner"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// idempotent sends a request, and sends it again elsewhere while the
// deadline, the budget and the buffered body allow.
func (x *exchange) idempotent() {
	known := verdict.DidNotRun
	var exclude []string
	for n := 1; ; n++ {
		sl, err := x.enter(exclude)
		if err != nil {
			x.server.refuse(x.w, x.call.id, weakened(err, known))
			return
		}
		rep, err := x.send(x.ctx, sl)
		if err == nil && !rep.refused() {
			x.deliver(sl, rep)
			return
		}
		if err == nil {
			err = x.runnerRefused(sl, rep)
		}
		known = known.Merge(verdict.Of(err))
		exclude = append(exclude, sl.pick.Runner.ID)
		if n >= maxAttempts || !x.repeatable(err) || !x.up.retry() {
			x.server.refuse(x.w, x.call.id, weakened(err, known))
			return
		}
		x.server.metrics.retries.Inc(1)
	}
}

func (x *exchange) deliver(sl *slot, rep *reply) {
	if rep.rest == nil {
		sl.done(x.server.clock.Now(), rep.result())
		x.whole(rep)
		return
	}
	if !x.stream(sl, rep) {
		x.abort()
	}
}

// runnerRefused ends an attempt that the runner did not start.
func (x *exchange) runnerRefused(sl *slot, rep *reply) error {
	if rep.rest != nil {
		rep.rest.Close()
	}
	sl.done(x.server.clock.Now(), rep.result())
	e := verdict.New(verdict.DidNotRun, CodeRunnerRefused, "the runner refused with HTTP %d", rep.status)
	e.RetryAfterMillis = 100
	return e
}

// repeatable is false once nobody waits for another attempt or its body is lost.
func (x *exchange) repeatable(err error) bool {
	var e *verdict.Error
	if errors.As(err, &e) && e.Code == runner.CodeInvalid {
		return false
	}
	untouched := x.rest == nil || (verdict.Of(err) == verdict.DidNotRun && !x.rest.touched.Load())
	return x.ctx.Err() == nil && untouched
}

// weakened returns an error with what is known over all attempts.
func weakened(err error, known verdict.Verdict) error {
	var e *verdict.Error
	if !errors.As(err, &e) {
		return verdict.Wrap(err, verdict.MayHaveRun, runner.CodeLost)
	}
	out := *e
	out.Verdict = e.Verdict.Merge(known)
	return &out
}
