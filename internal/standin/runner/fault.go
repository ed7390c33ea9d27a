package runner

import "time"

// Fault is how the stand-in treats the requests that come next.
type Fault struct {
	// Slow delays the execution. The request holds its slot meanwhile.
	Slow time.Duration `json:"slow"`
	// Fail answers 500 at once. The request counts as executed.
	Fail bool `json:"fail"`
	// Truncate closes the connection after half of the body.
	Truncate bool `json:"truncate"`
	// Unframed sends the body without length or chunks and closes.
	Unframed bool `json:"unframed"`
	// CloseAfter executes and closes the connection without an answer.
	CloseAfter bool `json:"close_after"`
	// CloseBefore closes the connection without executing.
	CloseBefore bool `json:"close_before"`
	// Stall stops in the middle of the body until the connection is closed.
	Stall bool `json:"stall"`
	// Chunked sends a truncated or stalled body in chunks, without a length.
	Chunked bool `json:"chunked"`
	// Verdict answers 503 with a verdict of the runner's own after executing.
	Verdict string `json:"verdict"`
	// Times is the number of requests the fault applies to; 0 for all.
	Times int `json:"times"`
}
