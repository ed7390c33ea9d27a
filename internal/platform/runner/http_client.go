package runner

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"sync/atomic"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/rotisserie/eris"
)

// Codes of the errors that HTTPClient returns.
const (
	// CodeRunnerUnreachable means that no connection to the runner could be opened.
	CodeRunnerUnreachable = "runner-unreachable"
	// CodeAnswerLost means that the request was sent and no response header arrived.
	CodeAnswerLost = "answer-lost"
	// CodeAnswerTruncated means that the response body ended early.
	CodeAnswerTruncated = "answer-truncated"
	// CodeConnectionStalled means that the connection of the request stalled.
	CodeConnectionStalled = "connection-silent"
	// CodeAnswerUnframed means that the response has neither a Content-Length nor
	// chunked encoding, so that a truncated one would look complete.
	CodeAnswerUnframed = "answer-unframed"
	// CodeRequestInvalid means that no HTTP request can be built from the Request.
	CodeRequestInvalid = "request-invalid"
)

// HTTPClient implements Client over HTTP/1.1. It uses the transport of net/http
// directly. go-zero's httpc passes requests to a shared client with a circuit
// breaker, so it can neither force a new connection nor tell whether any byte
// was sent, and a rejection by its breaker has no verdict.
type HTTPClient struct {
	options Options
	mu      sync.Mutex
	runners map[string]*connections
}

// NewHTTPClient returns a client without open connections.
func NewHTTPClient(o Options) *HTTPClient {
	return &HTTPClient{options: o, runners: map[string]*connections{}}
}

// Close closes the idle connections to all runners.
func (c *HTTPClient) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conns := range c.runners {
		conns.close()
	}
	c.runners = map[string]*connections{}
}

// Forget closes the idle connections to a runner that no longer exists and
// discards its transports.
func (c *HTTPClient) Forget(address string) {
	c.mu.Lock()
	conns := c.runners[address]
	delete(c.runners, address)
	c.mu.Unlock()
	if conns != nil {
		conns.close()
	}
}

// connectionsTo returns the transports to a runner and creates them at first use.
// It returns an error if maxRunners runners have transports already.
func (c *HTTPClient) connectionsTo(address string) (*connections, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.runners[address]
	if conns == nil {
		if len(c.runners) >= maxRunners {
			return nil, eris.Errorf("connections to %d runners are already open, which is the maximum", len(c.runners))
		}
		conns = newConnections(c.options)
		c.runners[address] = conns
	}
	return conns, nil
}

// Do implements Client. Every error is a *verdict.Error. Reading the response
// body fails if the response is truncated or its connection stalls.
func (c *HTTPClient) Do(ctx context.Context, address string, req *Request) (*Response, error) {
	conns, err := c.connectionsTo(address)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.DidNotRun, CodeRunnerUnreachable)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	httpReq, err := newHTTPRequest(ctx, address, req)
	if err != nil {
		cancel(nil)
		return nil, verdict.Wrap(err, verdict.DidNotRun, CodeRequestInvalid)
	}
	detector := newStallDetector(c, address, req.ID, conns, cancel)
	resp, err := conns.transportFor(req).RoundTrip(httpReq)
	if err != nil {
		detector.stop()
		err = roundTripError(ctx, err, connected.Load())
		cancel(nil)
		return nil, err
	}
	if isUnframed(resp) {
		detector.stop()
		cancel(nil)
		resp.Body.Close()
		return nil, verdict.New(verdict.MayHaveRun, CodeAnswerUnframed, "the response of %s has neither a Content-Length nor chunked encoding", address)
	}
	detector.recordProgress()
	body := &watchedBody{body: resp.Body, detector: detector, ctx: ctx, cancel: cancel}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body, ContentSize: resp.ContentLength}, nil
}

func newHTTPRequest(ctx context.Context, address string, req *Request) (*http.Request, error) {
	// The wrapper hides the type of the reader: for some types net/http sets
	// GetBody, with which it can resend the request.
	var body io.Reader
	if req.Body != nil {
		body = struct{ io.Reader }{req.Body}
	}
	httpReq, err := http.NewRequestWithContext(ctx, req.Method, "http://"+address, body)
	if err != nil {
		return nil, eris.Wrap(err, "create a request to a runner")
	}
	httpReq.URL, err = url.Parse("http://" + address + req.Path)
	if err != nil {
		return nil, eris.Wrapf(err, "parse the request path %q", req.Path)
	}
	httpReq.ContentLength = req.ContentSize
	if req.ContentSize == 0 {
		httpReq.Body = http.NoBody
	}
	httpReq.Header = req.Header.Clone()
	if httpReq.Header == nil {
		httpReq.Header = http.Header{}
	}
	// net/http considers a request with one of these headers safe to resend.
	httpReq.Header.Del("Idempotency-Key")
	httpReq.Header.Del("X-Idempotency-Key")
	httpReq.Header.Set(HeaderRequestID, req.ID)
	return httpReq, nil
}

// roundTripError adds a verdict and a code to the error of a round trip. If no
// connection was available, no byte was sent, so the request did not run.
func roundTripError(ctx context.Context, err error, connected bool) error {
	var stalled *verdict.Error
	if cause := context.Cause(ctx); eris.As(cause, &stalled) && connected {
		return stalled
	}
	if !connected {
		return verdict.Wrap(eris.Wrap(err, "connect to a runner"), verdict.DidNotRun, CodeRunnerUnreachable)
	}
	return verdict.Wrap(eris.Wrap(err, "no response from the runner"), verdict.MayHaveRun, CodeAnswerLost)
}

// isUnframed reports whether the end of the response is marked only by the end
// of its connection. A truncated response of this kind cannot be told from a
// complete one.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// Status implements Client. It opens a new connection for each call and returns
// an error if the runner does not respond within StatusTimeout.
func (c *HTTPClient) Status(ctx context.Context, address string) (Status, error) {
	var s Status
	conns, err := c.connectionsTo(address)
	if err != nil {
		return s, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.StatusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+StatusPath, nil)
	if err != nil {
		return s, eris.Wrap(err, "read the status of a runner")
	}
	resp, err := conns.fresh.RoundTrip(req)
	if err != nil {
		return s, eris.Wrap(err, "read the status of a runner")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s, eris.Errorf("read the status of a runner: HTTP %d", resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxStatusBodyBytes)).Decode(&s)
	return s, eris.Wrap(err, "read the status of a runner")
}
