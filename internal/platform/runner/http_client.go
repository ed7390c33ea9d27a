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

// Codes of the errors of HTTPClient.
const (
	CodeConnect   = "runner-unreachable"
	CodeLost      = "answer-lost"
	CodeTruncated = "answer-truncated"
	CodeSilent    = "connection-silent"
	CodeUnframed  = "answer-unframed"
	CodeInvalid   = "request-invalid"
)

// HTTPClient is the Client over HTTP/1.1. It uses net/http's transport
// directly: go-zero's httpc hands the request to a shared client with a
// breaker, so it can neither keep a request on a fresh connection nor tell
// whether a byte has left, and a refusal by its breaker has no verdict.
type HTTPClient struct {
	options Options
	mu      sync.Mutex
	runners map[string]*connections
}

// NewHTTPClient returns a client without connections.
func NewHTTPClient(o Options) *HTTPClient {
	return &HTTPClient{options: o, runners: map[string]*connections{}}
}

// Close closes all idle connections.
func (c *HTTPClient) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conns := range c.runners {
		conns.close()
	}
	c.runners = map[string]*connections{}
}

// Forget closes the idle connections to a runner that is gone.
func (c *HTTPClient) Forget(address string) {
	c.mu.Lock()
	conns := c.runners[address]
	delete(c.runners, address)
	c.mu.Unlock()
	if conns != nil {
		conns.close()
	}
}

func (c *HTTPClient) connections(address string) (*connections, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.runners[address]
	if conns == nil {
		if len(c.runners) >= maxRunners {
			return nil, eris.Errorf("connections to %d runners are open", len(c.runners))
		}
		conns = newConnections(c.options)
		c.runners[address] = conns
	}
	return conns, nil
}

// Do implements Client. An error is a *verdict.Error. Reading the body of the
// answer fails if the answer is truncated or its connection goes silent.
func (c *HTTPClient) Do(ctx context.Context, address string, req *Request) (*Response, error) {
	conns, err := c.connections(address)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.DidNotRun, CodeConnect)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	out, err := newHTTPRequest(ctx, address, req)
	if err != nil {
		cancel(nil)
		return nil, verdict.Wrap(err, verdict.DidNotRun, CodeInvalid)
	}
	watch := newWatch(c, address, req.ID, conns, cancel)
	resp, err := conns.choose(req).RoundTrip(out)
	if err != nil {
		watch.stop()
		err = lost(ctx, err, sent.Load())
		cancel(nil)
		return nil, err
	}
	if unframed(resp) {
		watch.stop()
		cancel(nil)
		resp.Body.Close()
		return nil, verdict.New(verdict.MayHaveRun, CodeUnframed, "the answer of %s has neither a length nor chunks", address)
	}
	watch.progress()
	body := &watchedBody{body: resp.Body, watch: watch, ctx: ctx, cancel: cancel}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body, ContentSize: resp.ContentLength}, nil
}

func newHTTPRequest(ctx context.Context, address string, req *Request) (*http.Request, error) {
	// The wrapper keeps net/http from seeing a type for which it sets GetBody.
	var body io.Reader
	if req.Body != nil {
		body = struct{ io.Reader }{req.Body}
	}
	out, err := http.NewRequestWithContext(ctx, req.Method, "http://"+address, body)
	if err != nil {
		return nil, eris.Wrap(err, "request to a runner")
	}
	out.URL, err = url.Parse("http://" + address + req.Path)
	if err != nil {
		return nil, eris.Wrapf(err, "path %q", req.Path)
	}
	out.ContentLength = req.ContentSize
	if req.ContentSize == 0 {
		out.Body = http.NoBody
	}
	out.Header = req.Header.Clone()
	if out.Header == nil {
		out.Header = http.Header{}
	}
	// net/http treats a request with one of these as safe to repeat.
	out.Header.Del("Idempotency-Key")
	out.Header.Del("X-Idempotency-Key")
	out.Header.Set(HeaderRequestID, req.ID)
	return out, nil
}

// lost gives the error of a round trip its verdict. Without a connection no
// byte has left.
func lost(ctx context.Context, err error, sent bool) error {
	var silent *verdict.Error
	if cause := context.Cause(ctx); eris.As(cause, &silent) && sent {
		return silent
	}
	if !sent {
		return verdict.Wrap(eris.Wrap(err, "connect to a runner"), verdict.DidNotRun, CodeConnect)
	}
	return verdict.Wrap(eris.Wrap(err, "no answer"), verdict.MayHaveRun, CodeLost)
}

// unframed is true for an answer that ends with its connection: a truncated
// one can't be told from a whole one.
func unframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// Status implements Client over a connection of its own.
func (c *HTTPClient) Status(ctx context.Context, address string) (Status, error) {
	var s Status
	conns, err := c.connections(address)
	if err != nil {
		return s, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.StatusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+StatusPath, nil)
	if err != nil {
		return s, eris.Wrap(err, "status of a runner")
	}
	resp, err := conns.fresh.RoundTrip(req)
	if err != nil {
		return s, eris.Wrap(err, "status of a runner")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s, eris.Errorf("status of a runner: HTTP %d", resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxStatusBody)).Decode(&s)
	return s, eris.Wrap(err, "status of a runner")
}
