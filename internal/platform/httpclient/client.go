// Package httpclient builds HTTP clients for the platform's services. It
// disables the circuit breaker of the HTTP library, because an open breaker
// rejects calls without reporting whether a request ran.
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

// Options configures a client.
type Options struct {
	// Name identifies the client in the metrics and traces of the HTTP library.
	Name string
	// MaxIdlePerHost is the maximum number of idle connections per address.
	MaxIdlePerHost int
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed.
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
		MaxIdleConnsPerHost: o.MaxIdlePerHost,
		IdleConnTimeout:     o.IdleTimeout,
		DisableCompression:  true,
	}
	client := &http.Client{Transport: transport}
	return &Client{service: httpc.NewServiceWithClient(o.Name, client), transport: transport}
}

// Do sends a request. An error carries verdict.DidNotRun if no connection was
// opened, and verdict.MayHaveRun otherwise.
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

// CloseIdleConnections closes the connections that carry no request.
func (c *Client) CloseIdleConnections() { c.transport.CloseIdleConnections() }

// IsDialError reports whether err occurred while a connection was being opened,
// so that the server cannot have received any byte of the request.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
