package runner

import "time"

const (
	// HeaderRequestID carries the id of a request.
	HeaderRequestID = "Medlar-Request-Id"
	// HeaderLeaving is "true" in the answers of a runner that is about to go.
	HeaderLeaving = "Medlar-Leaving"
	// StatusPath is where a runner tells its Status.
	StatusPath = "/medlar/status"
	// MaxResponseHeader bounds the header of an answer, in bytes.
	MaxResponseHeader = 64 << 10
	// maxStatusBody bounds the body of a status, in bytes.
	maxStatusBody = 256 << 10
	// maxRunners bounds the runners with open connections.
	maxRunners = 4096
)

// Options are the settings of the HTTP adapter.
type Options struct {
	// DialTimeout bounds connecting.
	DialTimeout time.Duration
	// SuspectAfter is how long a connection may make no progress before a
	// fresh connection asks the runner whether it still works on the request.
	SuspectAfter time.Duration
	// StatusTimeout bounds a status over a fresh connection.
	StatusTimeout time.Duration
	// MaxConnections bounds the connections to one runner. A runner takes
	// about 60 over all entry nodes and a node never has more requests in
	// flight than the runner has slots.
	MaxConnections int
	// MaxIdle bounds the idle connections to one runner.
	MaxIdle int
	// ProvenFor is how long after an answer a connection may carry a
	// non-idempotent request; at 0 each one dials. It is short because a
	// connection may have gone silent since, and then the request is lost.
	ProvenFor time.Duration
	// MaxProven bounds the idle connections kept for non-idempotent requests.
	MaxProven int
	// IdleTimeout closes a connection that was not used.
	IdleTimeout time.Duration
}

// DefaultOptions returns the settings used where none are given. Eight nodes
// hold 8 x (4 + 2) idle connections, 8 busy ones and a few probes, which is
// about the 60 connections that a runner takes. With fewer idle ones a busy
// node closes and dials connections all the time.
func DefaultOptions() Options {
	return Options{
		DialTimeout: time.Second, SuspectAfter: 2 * time.Second, StatusTimeout: time.Second,
		MaxConnections: 9, MaxIdle: 4, IdleTimeout: 30 * time.Second,
		ProvenFor: 250 * time.Millisecond, MaxProven: 2,
	}
}
