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

// servedRequest is a request that is being served, with its connection to the
// caller.
type servedRequest struct {
	server    *Server
	up        *upstream
	call      *call
	remainder *requestBody
	ctx       context.Context
	w         http.ResponseWriter
	deadline  time.Duration
}

// acquireSlot waits for a runner slot and records the time in the queue.
func (x *servedRequest) acquireSlot(exclude []string) (*slot, error) {
	began := x.server.clock.Now()
	sl, err := x.up.acquireSlot(x.ctx, x.server.clock, x.call, x.deadline, exclude)
	x.server.metrics.queueDuration.RecordDuration(x.server.clock.Now() - began)
	return sl, err
}

// send makes one attempt. If it returns an error, it has released the slot;
// otherwise its caller must release it.
func (x *servedRequest) send(ctx context.Context, sl *slot) (*reply, error) {
	c := x.call
	left := max(x.deadline-x.server.clock.Now(), time.Millisecond)
	c.header.Set(HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
	resp, err := x.server.client.Do(ctx, sl.pick.Runner.Address, &runner.Request{
		ID: c.id, Method: c.method, Path: c.uri, Header: c.header,
		Body: c.reader(x.remainder), ContentSize: c.size, Idempotent: c.idempotent,
	})
	if err != nil {
		return nil, x.endFailedAttempt(ctx, sl, err)
	}
	if resp.Header.Get(runner.HeaderLeaving) == "true" {
		now := x.server.clock.Now()
		x.up.withTable(now, func(t *router.Table) { t.RecordLeaving(now, sl.pick.Runner.ID, true) })
	} else {
		sl.answeredAt = x.server.clock.Now()
	}
	rep := &reply{status: resp.Status, header: forwardedHeader(resp.Header), size: resp.ContentSize, verdict: responseVerdict(resp)}
	readSize := rep.size
	if c.method == http.MethodHead {
		readSize = 0
	}
	complete, err := rep.readPrefix(resp.Body, readSize, x.server.options.BufferBytes)
	if err != nil {
		resp.Body.Close()
		return nil, x.endFailedAttempt(ctx, sl, err)
	}
	if complete {
		resp.Body.Close()
	} else {
		rep.remainder = resp.Body
	}
	return rep, nil
}

// responseVerdict returns the verdict of a runner's response. A response without
// a verdict proves that the request ran. A did-not-run verdict is accepted only
// with an error status.
func responseVerdict(resp *runner.Response) verdict.Verdict {
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

// readPrefix reads the body up to limit bytes. It reports whether the body is
// complete.
func (r *reply) readPrefix(body io.Reader, size int64, limit int) (complete bool, err error) {
	if size < 0 {
		var buf bytes.Buffer
		_, err = io.CopyN(&buf, body, int64(limit))
		r.body = buf.Bytes()
	} else {
		r.body = make([]byte, min(size, int64(limit)))
		if _, err = io.ReadFull(body, r.body); err == nil && size <= int64(limit) {
			// Reading to EOF verifies the framing and makes the connection reusable.
			_, err = io.ReadFull(body, make([]byte, 1))
		}
	}
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return true, nil
	}
	return false, err
}

// endFailedAttempt releases the slot after an error and returns the error to
// report.
func (x *servedRequest) endFailedAttempt(ctx context.Context, sl *slot, err error) error {
	now := x.server.clock.Now()
	sl.release(now, x.failureResult(ctx, err, now-sl.acquiredAt))
	if x.remainder != nil {
		if e := x.remainder.failure.Load(); e != nil {
			return verdict.Wrap(e.Err, verdict.Of(err), e.Code)
		}
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.Wrap(err, verdict.Of(err), CodeDeadline)
	}
	return err
}

func (x *servedRequest) failureResult(ctx context.Context, err error, took time.Duration) router.Result {
	bodyFailed := x.remainder != nil && x.remainder.failure.Load() != nil
	abandoned := ctx.Err() != nil || bodyFailed
	slow := errors.Is(ctx.Err(), context.DeadlineExceeded) && took >= slowRunnerThreshold
	switch {
	case verdict.Of(err) == verdict.DidNotRun && abandoned:
		return router.NotRun
	case verdict.Of(err) == verdict.DidNotRun:
		return router.Unreachable
	case abandoned && !slow:
		return router.Abandoned
	default:
		return router.Unknown
	}
}

// result classifies a complete response for the runner's health.
func (r *reply) result() router.Result {
	switch {
	case r.refused():
		return router.NotRun
	case r.status >= http.StatusInternalServerError:
		return router.Failed
	default:
		return router.Answered
	}
}
