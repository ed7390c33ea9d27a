package requests

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/platform/runner"
	"github.com/medlarpulley/medlarpulley/internal/router"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// exchange is one request of a caller on its way.
type exchange struct {
	server   *Server
	up       *upstream
	call     *call
	rest     *requestBody
	ctx      context.Context
	w        http.ResponseWriter
	deadline time.Duration
}

// enter waits for a slot.
func (x *exchange) enter(exclude []string) (*slot, error) {
	began := x.server.clock.Now()
	sl, err := x.up.enter(x.ctx, x.server.clock, x.call, x.deadline, exclude)
	x.server.metrics.queued.RecordDuration(x.server.clock.Now() - began)
	return sl, err
}

// send makes one attempt. On an error the slot has been given back; else the
// caller of send gives it back.
func (x *exchange) send(ctx context.Context, sl *slot) (*reply, error) {
	c := x.call
	left := max(x.deadline-x.server.clock.Now(), time.Millisecond)
	c.header.Set(HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
	resp, err := x.server.client.Do(ctx, sl.pick.Runner.Address, &runner.Request{
		ID: c.id, Method: c.method, Path: c.uri, Header: c.header,
		Body: c.reader(x.rest), ContentSize: c.size, Idempotent: c.idempotent,
	})
	if err != nil {
		return nil, x.failed(ctx, sl, err)
	}
	if resp.Header.Get(runner.HeaderLeaving) == "true" {
		now := x.server.clock.Now()
		x.up.with(now, func(t *router.Table) { t.SaidLeaving(now, sl.pick.Runner.ID, true) })
	} else {
		sl.answered = x.server.clock.Now()
	}
	rep := &reply{status: resp.Status, header: passedOn(resp.Header), size: resp.ContentSize, verdict: verdictOf(resp)}
	readSize := rep.size
	if c.method == http.MethodHead {
		readSize = 0
	}
	whole, err := rep.readPrefix(resp.Body, readSize, x.server.options.Buffer)
	if err != nil {
		resp.Body.Close()
		return nil, x.failed(ctx, sl, err)
	}
	if whole {
		resp.Body.Close()
	} else {
		rep.rest = resp.Body
	}
	return rep, nil
}

// verdictOf returns the verdict of an answer. Only an error can claim that
// the request did not run; an answer without a verdict proves that it did.
func verdictOf(resp *runner.Response) verdict.Verdict {
	said := resp.Header.Get(verdict.Header)
	if said == "" {
		return verdict.DidRun
	}
	v, err := verdict.Parse(said)
	if err != nil || (v == verdict.DidNotRun && resp.Status < http.StatusBadRequest) {
		return verdict.DidRun
	}
	return v
}

// readPrefix reads the body up to a limit. It reports whether that is all.
func (r *reply) readPrefix(body io.Reader, size int64, limit int) (whole bool, err error) {
	if size < 0 {
		var buf bytes.Buffer
		_, err = io.CopyN(&buf, body, int64(limit))
		r.body = buf.Bytes()
	} else {
		r.body = make([]byte, min(size, int64(limit)))
		if _, err = io.ReadFull(body, r.body); err == nil && size <= int64(limit) {
			// The end of the body confirms its framing and frees the connection.
			_, err = io.ReadFull(body, make([]byte, 1))
		}
	}
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return true, nil
	}
	return false, err
}

// failed gives the slot back after an error and returns the error to report.
func (x *exchange) failed(ctx context.Context, sl *slot, err error) error {
	now := x.server.clock.Now()
	sl.done(now, x.resultOf(ctx, err, now-sl.taken))
	if x.rest != nil {
		if e := x.rest.failed.Load(); e != nil {
			return verdict.Wrap(e.Err, verdict.Of(err), e.Code)
		}
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.Wrap(err, verdict.Of(err), CodeDeadline)
	}
	return err
}

func (x *exchange) resultOf(ctx context.Context, err error, took time.Duration) router.Result {
	bodyFailed := x.rest != nil && x.rest.failed.Load() != nil
	gaveUp := ctx.Err() != nil || bodyFailed
	slow := errors.Is(ctx.Err(), context.DeadlineExceeded) && took >= slowAfter
	switch {
	case verdict.Of(err) == verdict.DidNotRun && gaveUp:
		return router.Refused
	case verdict.Of(err) == verdict.DidNotRun:
		return router.Unreachable
	case gaveUp && !slow:
		return router.Abandoned
	default:
		return router.Unknown
	}
}

// result is what a whole answer says about the runner.
func (r *reply) result() router.Result {
	switch {
	case r.refused():
		return router.Refused
	case r.status >= http.StatusInternalServerError:
		return router.Failed
	default:
		return router.Answered
	}
}
