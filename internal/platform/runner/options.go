package runner

import "time"

const (
	// HeaderRequestID is the header with the ID of a request.
	HeaderRequestID = "Medlar-Request-Id"
	// HeaderLeaving is "true" in the responses of a runner that is about to shut
	// down.
	HeaderLeaving = "Medlar-Leaving"
	// StatusPath is the path at which a runner serves its Status.
	StatusPath = "/medlar/status"
	// MaxResponseHeaderBytes limits the size of a response header.
	MaxResponseHeaderBytes = 64 << 10
	// maxStatusBodyBytes limits the size of the body of a status response.
	maxStatusBodyBytes = 256 << 10
	// maxRunners is the maximum number of runners with open connections.
	maxRunners = 4096
)

// Options configures HTTPClient.
type Options struct {
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// ProgressTimeout is how long a request may make no progress before the client
	// asks the runner, over a new connection, whether it still works on the
	// request.
	ProgressTimeout time.Duration
	// StatusTimeout limits one status request, connecting included.
	StatusTimeout time.Duration
	// MaxConnections is the maximum number of connections of each pool to one
	// runner. A runner accepts about 60 connections from all entry nodes, and a
	// node never has more requests in flight than the runner has slots.
	MaxConnections int
	// MaxIdleConnections is the maximum number of idle connections to one runner
	// that are kept for idempotent requests.
	MaxIdleConnections int
	// NonIdempotentReuseWindow is how long after a response a connection may
	// carry another non-idempotent request; with 0 each such request opens a
	// connection. The window is short because the connection may have stalled
	// since the response, and then the request is lost.
	NonIdempotentReuseWindow time.Duration
	// MaxIdleNonIdempotent is the maximum number of idle connections to one runner
	// that are kept for non-idempotent requests.
	MaxIdleNonIdempotent int
	// IdleTimeout is the time after which an idle connection for idempotent
	// requests is closed.
	IdleTimeout time.Duration
}

// DefaultOptions returns the default options. With them, eight nodes hold
// 8 x (4 + 2) idle connections, 8 busy ones and a few for probes, which is about
// the 60 connections that a runner accepts. With fewer idle connections a busy
// node would close and open connections all the time.
func DefaultOptions() Options {
	return Options{
		DialTimeout: time.Second, ProgressTimeout: 2 * time.Second, StatusTimeout: time.Second,
		MaxConnections: 9, MaxIdleConnections: 4, IdleTimeout: 30 * time.Second,
		NonIdempotentReuseWindow: 250 * time.Millisecond, MaxIdleNonIdempotent: 2,
	}
}
