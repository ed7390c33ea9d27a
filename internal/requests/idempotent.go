package requests

import (
	"errors"

	"github.com/medlarpulley/medlarpulley/internal/platform/runner"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// serveIdempotent sends a request and retries it at other runners as far as the
// number of attempts, the deadline, the retry budget and the buffered body allow.
func (x *servedRequest) serveIdempotent() {
	combined := verdict.DidNotRun
	var exclude []string
	for n := 1; ; n++ {
		sl, err := x.acquireSlot(exclude)
		if err != nil {
			x.server.writeError(x.w, x.call.id, withCombinedVerdict(err, combined))
			return
		}
		rep, err := x.send(x.ctx, sl)
		if err == nil && !rep.refused() {
			x.writeReply(sl, rep)
			return
		}
		if err == nil {
			err = x.endRefusedAttempt(sl, rep)
		}
		combined = combined.Merge(verdict.Of(err))
		exclude = append(exclude, sl.pick.Runner.ID)
		if n >= maxAttempts || !x.retryable(err) || !x.up.takeRetry() {
			x.server.writeError(x.w, x.call.id, withCombinedVerdict(err, combined))
			return
		}
		x.server.metrics.retries.Inc(1)
	}
}

func (x *servedRequest) writeReply(sl *slot, rep *reply) {
	if rep.remainder == nil {
		sl.release(x.server.clock.Now(), rep.result())
		x.writeBuffered(rep)
		return
	}
	if !x.writeStreamed(sl, rep) {
		x.abortConnection()
	}
}

// endRefusedAttempt releases the slot of an attempt that the runner refused and
// returns the error to report.
func (x *servedRequest) endRefusedAttempt(sl *slot, rep *reply) error {
	if rep.remainder != nil {
		rep.remainder.Close()
	}
	sl.release(x.server.clock.Now(), rep.result())
	e := verdict.New(verdict.DidNotRun, CodeRunnerRefused, "the runner refused the request with HTTP %d", rep.status)
	e.RetryAfterMillis = 100
	return e
}

// retryable is false if the caller no longer waits, the body can't be sent again,
// or the runner client can't build the request.
func (x *servedRequest) retryable(err error) bool {
	var e *verdict.Error
	if errors.As(err, &e) && e.Code == runner.CodeRequestInvalid {
		return false
	}
	bodyIntact := x.remainder == nil || (verdict.Of(err) == verdict.DidNotRun && !x.remainder.readStarted.Load())
	return x.ctx.Err() == nil && bodyIntact
}

// withCombinedVerdict returns err with a verdict that covers all attempts.
func withCombinedVerdict(err error, combined verdict.Verdict) error {
	var e *verdict.Error
	if !errors.As(err, &e) {
		return verdict.Wrap(err, verdict.MayHaveRun, runner.CodeAnswerLost)
	}
	out := *e
	out.Verdict = e.Verdict.Merge(combined)
	return &out
}
