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

// Request headers of the request path.
const (
	HeaderIdempotent = "Medlar-Idempotent"
	HeaderRequestID  = "Medlar-Request-Id"
	HeaderClass      = "Medlar-Class"
	// HeaderDeadline is the time that the caller waits, such as "1.5s".
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

// Response is the complete response to a Request.
type Response struct {
	Entry   string
	Status  int
	Header  http.Header
	Body    []byte
	Verdict verdict.Verdict
}

// Request sends a request to an upstream. The next entry is tried only if the
// verdict is did-not-run and the refusal is of the entry, not of the request,
// or if an idempotent request got no response. The error is a *verdict.Error.
func (c *Client) Request(ctx context.Context, r Request) (Response, error) {
	if !r.Idempotent && r.ID == "" {
		return Response{}, verdict.New(verdict.DidNotRun, gateway.CodeBadRequest, "a non-idempotent request needs an id")
	}
	if r.Timeout > 0 {
		// The entry node answers at the deadline; a little more time lets its
		// answer, which has the better verdict, arrive.
		var cancel func()
		ctx, cancel = context.WithTimeout(ctx, r.Timeout+time.Second)
		defer cancel()
	}
	var resp Response
	var failed *verdict.Error
	seen := verdict.DidNotRun
	for _, entry := range c.order() {
		resp, failed = c.requestOnce(ctx, entry, r)
		if failed == nil && !(resp.Status == http.StatusServiceUnavailable && resp.Verdict == verdict.DidNotRun) {
			break
		}
		v := resp.Verdict
		if failed != nil {
			v = failed.Verdict
		}
		seen = seen.Merge(v)
		if ctx.Err() != nil || (v != verdict.DidNotRun && !r.Idempotent) {
			break
		}
	}
	if failed != nil {
		failed.Verdict = seen
		return Response{}, failed
	}
	resp.Verdict = resp.Verdict.Merge(seen)
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
		// The HTTP library repeats some requests when a kept connection breaks,
		// also ones without a body. It does not on a fresh connection.
		req.GetBody = nil
		do = c.fresh.Do
	}
	resp, err := do(req)
	if err != nil {
		return Response{}, transportError(entry, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = errors.New("the response is too large")
	}
	if err != nil {
		return Response{}, verdict.Wrap(fmt.Errorf("%s: %w", entry, err), verdict.MayHaveRun, CodeConnection)
	}
	return Response{entry, resp.StatusCode, resp.Header, body, headerVerdict(resp)}, nil
}
