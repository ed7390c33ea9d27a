package apiclient

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// Headers of a request to an upstream.
const (
	HeaderIdempotent = "Medlar-Idempotent"
	HeaderRequestID  = "Medlar-Request-Id"
	HeaderClass      = "Medlar-Class"
	// HeaderDeadline is how long the caller waits, as a duration such as "1.5s".
	HeaderDeadline = "Medlar-Deadline"
)

// Request is one request to an upstream.
type Request struct {
	Upstream, Method, Path string
	Body                   []byte
	Idempotent             bool
	// ID is required unless the request is idempotent.
	ID    string
	Class work.Class
	// Timeout bounds the request; zero leaves it to the entry node.
	Timeout time.Duration
}

// Response is the complete response to a Request. Entry is the entry node that it
// came through.
type Response struct {
	Entry   string
	Status  int
	Header  http.Header
	Body    []byte
	Verdict verdict.Verdict
}

// Request sends a request to an upstream. The next entry is tried only if the
// verdict is did-not-run and the refusal concerns the entry, not the request, or
// if an idempotent request got no response. The error is a *verdict.Error.
func (c *Client) Request(ctx context.Context, r Request) (Response, error) {
	if !r.Idempotent && r.ID == "" {
		return Response{}, verdict.New(verdict.DidNotRun, gateway.CodeBadRequest, "a non-idempotent request needs an id")
	}
	if r.Timeout > 0 {
		// The entry node answers at the deadline. Waiting 1 s longer lets its answer
		// arrive, whose verdict is more exact than that of a local timeout.
		var cancel func()
		ctx, cancel = context.WithTimeout(ctx, r.Timeout+time.Second)
		defer cancel()
	}
	var resp Response
	var failed *verdict.Error
	merged := verdict.DidNotRun
	for _, entry := range c.entryOrder() {
		resp, failed = c.requestOnce(ctx, entry, r)
		if failed == nil && !(resp.Status == http.StatusServiceUnavailable && resp.Verdict == verdict.DidNotRun) {
			break
		}
		v := resp.Verdict
		if failed != nil {
			v = failed.Verdict
		}
		merged = merged.Merge(v)
		if ctx.Err() != nil || (v != verdict.DidNotRun && !r.Idempotent) {
			break
		}
	}
	if failed != nil {
		failed.Verdict = merged
		return Response{}, failed
	}
	resp.Verdict = resp.Verdict.Merge(merged)
	return resp, nil
}

func (c *Client) requestOnce(ctx context.Context, entry string, r Request) (Response, *verdict.Error) {
	target := entry + "/v1/upstreams/" + url.PathEscape(r.Upstream) + "/" + strings.TrimLeft(r.Path, "/")
	req, err := http.NewRequestWithContext(ctx, r.Method, target, bytes.NewReader(r.Body))
	if err != nil {
		return Response{}, verdict.Wrap(err, verdict.DidNotRun, gateway.CodeBadRequest)
	}
	c.authorize(req)
	req.Header.Set(HeaderClass, r.Class.String())
	req.Header.Set(HeaderIdempotent, fmt.Sprint(r.Idempotent))
	if r.ID != "" {
		req.Header.Set(HeaderRequestID, r.ID)
	}
	if r.Timeout > 0 {
		req.Header.Set(HeaderDeadline, r.Timeout.String())
	}
	do := c.do
	if !r.Idempotent {
		// The HTTP library retries some requests, also ones without a body, when a
		// reused connection breaks. It never does on a new connection.
		req.GetBody = nil
		do = c.noKeepAlive.Do
	}
	resp, err := do(req)
	if err != nil {
		return Response{}, transportError(entry, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = errors.New("the response is too large")
	}
	if err != nil {
		return Response{}, verdict.Wrap(fmt.Errorf("%s: %w", entry, err), verdict.MayHaveRun, CodeConnection)
	}
	return Response{entry, resp.StatusCode, resp.Header, body, headerVerdict(resp)}, nil
}
