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

// maxAnswerBytes bounds an answer, so that a wrong server cannot fill memory.
const maxAnswerBytes = 256 << 20

// answerMargin is the most time that is kept for an answer to arrive.
const answerMargin = 500 * time.Millisecond

// Codes of errors that arise in the client.
const (
	// CodeConnect means that no entry could be connected to.
	CodeConnect = "connect"
	// CodeConnection means that a connection failed after it was made.
	CodeConnection = "connection"
	// CodeAnswer means that an answer could not be understood.
	CodeAnswer = "bad-answer"
)

// operation is one call; read is true if it changes nothing.
type operation struct {
	method, path string
	body         any
	read         bool
	// stream is true if the answer has no end of its own.
	stream bool
}

// call tries the entries in turn, and decodes the result. The error is a
// *verdict.Error.
func (c *Client) call(ctx context.Context, op operation, result any) error {
	var body []byte
	if op.body != nil {
		var err error
		if body, err = json.Marshal(op.body); err != nil {
			return verdict.Wrap(err, verdict.DidNotRun, gateway.CodeBadRequest)
		}
	}
	var last *verdict.Error
	seen := verdict.DidNotRun
	for _, entry := range c.order() {
		if last = c.once(ctx, entry, op, body, result); last == nil {
			return nil
		}
		seen = seen.Merge(last.Verdict)
		if ctx.Err() != nil || !mayTryNext(last, op.read) {
			break
		}
	}
	last.Verdict = seen
	return last
}

// mayTryNext reports whether another entry may be asked after err. A change is
// repeated only if it is proved not to have taken effect.
func mayTryNext(err *verdict.Error, read bool) bool {
	if err.Verdict != verdict.DidNotRun && !read {
		return false
	}
	var remote *RemoteError
	if errors.As(err, &remote) {
		// Other refusals are the same at every entry.
		return remote.Status >= http.StatusInternalServerError
	}
	return true
}

func (c *Client) once(ctx context.Context, entry string, op operation, body []byte, result any) *verdict.Error {
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
		return verdict.Wrap(fmt.Errorf("%s: %w", entry, err), answer.Verdict, CodeAnswer)
	}
	return nil
}

func (c *Client) send(ctx context.Context, entry string, op operation, body []byte) (*http.Response, *verdict.Error) {
	req, err := http.NewRequestWithContext(ctx, op.method, entry+op.path, bytes.NewReader(body))
	if err != nil {
		return nil, verdict.Wrap(err, verdict.DidNotRun, gateway.CodeBadRequest)
	}
	if !op.read {
		// Without GetBody the HTTP client cannot repeat the request silently.
		req.GetBody = nil
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	c.authorize(req)
	if end, ok := ctx.Deadline(); ok && !op.stream {
		// The entry node gives up a little earlier, so that its verdict arrives.
		left := time.Until(end)
		left = max(left-min(left/10, answerMargin), time.Millisecond)
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

// transportError gives the verdict of a request without an answer: nothing
// ran only if there was no connection.
func transportError(entry string, err error) *verdict.Error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return verdict.Wrap(fmt.Errorf("%s: %w", entry, err), verdict.DidNotRun, CodeConnect)
	}
	return verdict.Wrap(fmt.Errorf("%s: %w", entry, err), verdict.MayHaveRun, CodeConnection)
}

// readAnswer reads a whole answer and turns a reported problem into an error.
func readAnswer(entry string, resp *http.Response) (gateway.Answer, *verdict.Error) {
	var a gateway.Answer
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return a, verdict.Wrap(fmt.Errorf("%s: %w", entry, err), verdict.MayHaveRun, CodeConnection)
	}
	err = json.Unmarshal(data, &a)
	if err != nil || (resp.StatusCode >= 400 && a.Error == nil) {
		// Something else than an entry node may have answered.
		return a, verdict.Wrap(fmt.Errorf("%s answered %d without a known body", entry, resp.StatusCode), headerVerdict(resp), CodeAnswer)
	}
	if a.Error == nil {
		return a, nil
	}
	failed := verdict.Wrap(&RemoteError{entry, resp.StatusCode, *a.Error}, a.Verdict, a.Error.Code)
	failed.RetryAfterMillis = a.Error.RetryAfterMillis
	return a, failed
}

// headerVerdict returns the verdict header, or MayHaveRun without one.
func headerVerdict(resp *http.Response) verdict.Verdict {
	v, err := verdict.Parse(resp.Header.Get(verdict.Header))
	if err != nil {
		return verdict.MayHaveRun
	}
	return v
}
