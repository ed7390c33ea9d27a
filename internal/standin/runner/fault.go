package runner

import "time"

// Fault is a fault that the runner applies to the next requests.
type Fault struct {
	// Slow is the time by which the execution is delayed. The request keeps its
	// slot meanwhile.
	Slow time.Duration `json:"slow"`
	// Fail makes the response an error with status 500. The request counts as
	// executed.
	Fail bool `json:"fail"`
	// Truncate closes the connection after half of the response body.
	Truncate bool `json:"truncate"`
	// Unframed sends the response body with neither a Content-Length nor chunked
	// encoding, and closes the connection.
	Unframed bool `json:"unframed"`
	// CloseAfter closes the connection without a response after executing the
	// request.
	CloseAfter bool `json:"close_after"`
	// CloseBefore closes the connection without executing the request.
	CloseBefore bool `json:"close_before"`
	// Stall stops sending after half of the response body, until the client
	// closes the connection.
	Stall bool `json:"stall"`
	// Chunked makes Truncate and Stall send the body in chunked encoding, without
	// a Content-Length.
	Chunked bool `json:"chunked"`
	// Verdict makes the response an error with status 503 and this value in the
	// verdict header, after executing the request.
	Verdict string `json:"verdict"`
	// Times is the number of requests that the fault applies to; 0 means all.
	Times int `json:"times"`
}
