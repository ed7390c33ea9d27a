// Package runner owns the interface to a runner, which is one instance of an
// upstream, and the HTTP client for it. It must never send a non-idempotent
// request more than once.
package runner

import (
	"context"
	"io"
	"net/http"
)

// Request is a request to a runner. ContentSize is the size of Body in bytes.
type Request struct {
	ID          string
	Method      string
	Path        string
	Header      http.Header
	Body        io.Reader
	ContentSize int64
	// Idempotent is false if the request must be sent at most once.
	Idempotent bool
}

// Response is the response of a runner. The caller must close Body.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// ContentSize is the size of the body in bytes, or -1 if unknown.
	ContentSize int64
}

// Status is the state that a runner reports about itself.
type Status struct {
	Slots    int  `json:"slots"`
	InFlight int  `json:"in_flight"`
	Leaving  bool `json:"leaving"`
	// Requests are the IDs of the requests in flight.
	Requests []string `json:"requests,omitempty"`
}

// Client sends requests to runners.
type Client interface {
	// Do sends a request to the runner at an address. An error carries a
	// verdict, which is DidNotRun only if the runner cannot have received any
	// byte of the request.
	Do(ctx context.Context, address string, req *Request) (*Response, error)
	// Status reads the state of the runner at an address over a new connection.
	Status(ctx context.Context, address string) (Status, error)
}
