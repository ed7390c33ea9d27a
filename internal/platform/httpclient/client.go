// Package httpclient builds the HTTP clients for the platform's services. It
// switches off the circuit breaker of the HTTP library, because an open
// breaker answers without knowledge of whether a request ran.
package httpclient

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// Options are the limits of a client.
type Options struct {
	// Name identifies the client in metrics and traces of the library.
	Name string
	// IdlePerHost bounds the unused connections to one address.
	IdlePerHost int
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout time.Duration
}

// Client is an HTTP client whose errors carry a verdict.
type Client struct {
	service   httpc.Service
	transport *http.Transport
}

// New returns a client with its own connection pool.
func New(o Options) *Client {
	breaker.NoBreakerFor(o.Name)
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: o.DialTimeout}).DialContext,
		MaxIdleConnsPerHost: o.IdlePerHost,
		IdleConnTimeout:     o.IdleTimeout,
		DisableCompression:  true,
	}
	client := &http.Client{Transport: transport}
	return &Client{service: httpc.NewServiceWithClient(o.Name, client), transport: transport}
}

// Do sends a request. The error carries verdict.DidNotRun if no connection
// was opened, and verdict.MayHaveRun otherwise.
func (c *Client) Do(r *http.Request) (*http.Response, error) {
	resp, err := c.service.DoRequest(r)
	if err == nil {
		return resp, nil
	}
	if IsDialError(err) {
		return nil, verdict.Wrap(err, verdict.DidNotRun, "connect-failed")
	}
	return nil, verdict.Wrap(err, verdict.MayHaveRun, "no-answer")
}

// CloseIdle closes the connections that carry no request.
func (c *Client) CloseIdle() { c.transport.CloseIdleConnections() }

// IsDialError reports whether err happened before a connection was open, so
// that no byte of the request can have arrived.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
