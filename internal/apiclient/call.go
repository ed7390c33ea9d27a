package apiclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// maxResponseBytes bounds a response body, so that a faulty server cannot exhaust
// memory.
const maxResponseBytes = 256 << 20

// maxDeadlineMargin bounds the part of the caller's timeout that is kept back
// from the entry node, so that its response arrives in time.
const maxDeadlineMargin = 500 * time.Millisecond

// Codes of errors that the client itself detects.
const (
	// CodeConnect means that no connection to an entry could be made.
	CodeConnect = "connect"
	// CodeConnection means that an established connection failed.
	CodeConnection = "connection"
	// CodeBadAnswer means that a response could not be decoded.
	CodeBadAnswer = "bad-answer"
)

// operation is one API call.
type operation struct {
	method, path string
	body         any
	// readOnly is true if the call changes nothing.
	readOnly bool
	// stream is true if the response is open-ended.
	stream bool
}

// call tries the entries in turn until one succeeds, and decodes its result. The
// error is a *verdict.Error whose verdict covers all attempts.
func (c *Client) call(ctx context.Context, op operation, result any) error {
	var body []byte
	if op.body != nil {
		var err error
		if body, err = json.Marshal(op.body); err != nil {
			return verdict.Wrap(err, verdict.DidNotRun, gateway.CodeBadRequest)
		}
	}
	var last *verdict.Error
	merged := verdict.DidNotRun
	for _, entry := range c.entryOrder() {
		if last = c.callOnce(ctx, entry, op, body, result); last == nil {
			return nil
		}
		merged = merged.Merge(last.Verdict)
		if ctx.Err() != nil || !mayTryNext(last, op.readOnly) {
			break
		}
	}
	last.Verdict = merged
	return last
}

// mayTryNext reports whether the next entry may be tried after err. A change is
// repeated only if the verdict says that it has not taken effect.
func mayTryNext(err *verdict.Error, readOnly bool) bool {
	if err.Verdict != verdict.DidNotRun && !readOnly {
		return false
	}
	var remote *RemoteError
	if errors.As(err, &remote) {
		// A refusal with any other status would be the same at every entry.
		return remote.Status >= http.StatusInternalServerError
	}
	return true
}

// callOnce sends an operation to one entry and decodes the result, unless result
// is nil.
func (c *Client) callOnce(ctx context.Context, entry string, op operation, body []byte, result any) *verdict.Error {
	resp, failed := c.send(ctx, entry, op, body)
	if failed != nil {
		return failed
	}
	defer resp.Body.Close()
	answer, failed := readAnswer(entry, resp)
	if failed != nil {
		return failed
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(answer.Result, result); err != nil {
		return verdict.Wrap(fmt.Errorf("%s: %w", entry, err), answer.Verdict, CodeBadAnswer)
	}
	return nil
}

func (c *Client) send(ctx context.Context, entry string, op operation, body []byte) (*http.Response, *verdict.Error) {
	req, err := http.NewRequestWithContext(ctx, op.method, entry+op.path, bytes.NewReader(body))
	if err != nil {
		return nil, verdict.Wrap(err, verdict.DidNotRun, gateway.CodeBadRequest)
	}
	if !op.readOnly {
		// Without GetBody the HTTP client cannot resend the body, so it does not retry
		// the request by itself.
		req.GetBody = nil
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	c.authorize(req)
	if end, ok := ctx.Deadline(); ok && !op.stream {
		// The entry node gets an earlier deadline, so that its verdict arrives in
		// time.
		left := time.Until(end)
		left = max(left-min(left/10, maxDeadlineMargin), time.Millisecond)
		req.Header.Set(HeaderDeadline, left.Round(time.Millisecond).String())
	}
	resp, err := c.do(req)
	if err != nil {
		return nil, transportError(entry, err)
	}
	return resp, nil
}

func (c *Client) authorize(req *http.Request) {
	if c.options.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.options.Key)
	}
}

// transportError adds the verdict to the error of a request that got no
// response: did-not-run only if no connection was made.
func transportError(entry string, err error) *verdict.Error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return verdict.Wrap(fmt.Errorf("%s: %w", entry, err), verdict.DidNotRun, CodeConnect)
	}
	return verdict.Wrap(fmt.Errorf("%s: %w", entry, err), verdict.MayHaveRun, CodeConnection)
}

// readAnswer reads a complete response and returns a reported problem as an
// error.
func readAnswer(entry string, resp *http.Response) (gateway.Response, *verdict.Error) {
	var a gateway.Response
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return a, verdict.Wrap(fmt.Errorf("%s: %w", entry, err), verdict.MayHaveRun, CodeConnection)
	}
	err = json.Unmarshal(data, &a)
	if err != nil || (resp.StatusCode >= 400 && a.Error == nil) {
		// The response may come from something other than an entry node.
		return a, verdict.Wrap(fmt.Errorf("%s answered %d without a valid response body", entry, resp.StatusCode), headerVerdict(resp), CodeBadAnswer)
	}
	if a.Error == nil {
		return a, nil
	}
	failed := verdict.Wrap(&RemoteError{entry, resp.StatusCode, *a.Error}, a.Verdict, a.Error.Code)
	failed.RetryAfterMillis = a.Error.RetryAfterMillis
	return a, failed
}

// headerVerdict returns the verdict in the header of a response, or MayHaveRun if
// there is no valid one.
func headerVerdict(resp *http.Response) verdict.Verdict {
	v, err := verdict.Parse(resp.Header.Get(verdict.Header))
	if err != nil {
		return verdict.MayHaveRun
	}
	return v
}
