// Package runner is the interface to a runner, one instance of an upstream,
// and its HTTP adapter.
package runner

import (
	"context"
	"io"
	"net/http"
)

// Request is one request to be sent to a runner.
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

// Response is the head of a runner's answer. Body must be closed.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// ContentSize is the size of the body in bytes, or -1 if not known.
	ContentSize int64
}

// Status is what a runner says about itself.
type Status struct {
	Slots    int  `json:"slots"`
	InFlight int  `json:"in_flight"`
	Leaving  bool `json:"leaving"`
	// Requests are the ids of the requests in flight.
	Requests []string `json:"requests,omitempty"`
}

// Client sends requests to runners.
type Client interface {
	// Do sends a request to the runner at an address. An error carries a
	// verdict: DidNotRun only if no byte of the request can have arrived.
	Do(ctx context.Context, address string, req *Request) (*Response, error)
	// Status asks a runner for its state over a fresh connection.
	Status(ctx context.Context, address string) (Status, error)
}
