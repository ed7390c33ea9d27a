// Package worker is the interface to the agent on a worker host and its HTTP
// adapter. One call, Exchange, renews leases, starts and stops tasks and
// collects reports, so that the cost of control is one message per host and interval.
package worker

import (
	"context"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// StopMode is how a task is to be stopped.
type StopMode string

const (
	// Checkpoint asks the task to save its state and end.
	Checkpoint StopMode = "checkpoint"
	// Throttle slows the task down and keeps it.
	Throttle StopMode = "throttle"
	// Kill ends the task at once.
	Kill StopMode = "kill"
)

// Start asks for a task attempt to be started.
type Start struct {
	Attempt work.AttemptID  `json:"attempt"`
	Size    resource.Vector `json:"size"`
	// Lease is how long the task may run without a valid exchange.
	Lease   time.Duration `json:"lease"`
	Command string        `json:"command"`
}

// Stop asks for a task attempt to be stopped.
type Stop struct {
	Attempt work.AttemptID `json:"attempt"`
	Mode    StopMode       `json:"mode"`
}

// ExchangeRequest is what a shard owner sends to a worker.
type ExchangeRequest struct {
	Shard string `json:"shard"`
	// Token is the owner's fencing token. A worker refuses a token below the
	// highest that it has seen.
	Token uint64 `json:"token"`
	// Incarnation is the worker incarnation that Stamp belongs to; zero on first contact.
	Incarnation uint64 `json:"incarnation,omitempty"`
	// Stamp echoes the worker's latest clock reading that the owner holds.
	// Leases are extended to Stamp plus their length, and starts are refused
	// if Stamp is too old, so a delayed message cannot prolong anything.
	Stamp time.Duration `json:"stamp,omitempty"`
	// Wait is how long the worker may hold the answer while no task has ended.
	Wait time.Duration `json:"wait,omitempty"`
	// Full asks for the list of all running tasks.
	Full   bool    `json:"full,omitempty"`
	Starts []Start `json:"starts,omitempty"`
	Stops  []Stop  `json:"stops,omitempty"`
	// Acks are finished attempts whose report the worker may forget.
	Acks []work.AttemptID `json:"acks,omitempty"`
}

// RefusalCode tells why a worker refused an exchange or a start.
type RefusalCode string

const (
	// StaleToken means that a higher fencing token is known.
	StaleToken RefusalCode = "stale-token"
	// StaleStamp means that the stamp is too old, that the lease would be over
	// already, or that the stamp is of another incarnation.
	StaleStamp RefusalCode = "stale-stamp"
	// NoRoom means that the task does not fit.
	NoRoom RefusalCode = "no-room"
	// Duplicate means that the task is already known to the worker.
	Duplicate RefusalCode = "duplicate"
	// LeavingHost means that the host takes no new tasks.
	LeavingHost RefusalCode = "leaving"
)

// StartResult answers one Start. An empty Refused means that the task runs.
type StartResult struct {
	Attempt work.AttemptID `json:"attempt"`
	Refused RefusalCode    `json:"refused,omitempty"`
}

// Running describes a task that runs on the worker.
type Running struct {
	Attempt work.AttemptID  `json:"attempt"`
	Size    resource.Vector `json:"size"`
	// Lease is the lease length of the task.
	Lease time.Duration `json:"lease"`
	// Age is the time since the task started.
	Age time.Duration `json:"age"`
	// Usage is the measured use of the task; it lags.
	Usage resource.Vector `json:"usage"`
}

// Finished reports an attempt that has ended.
type Finished struct {
	Attempt work.AttemptID  `json:"attempt"`
	Outcome work.Outcome    `json:"outcome"`
	Ran     time.Duration   `json:"ran"`
	Peak    resource.Vector `json:"peak"`
	// Checkpointed is true if the task saved its state before it ended.
	Checkpointed bool `json:"checkpointed,omitempty"`
}

// ExchangeResponse is the worker's answer.
type ExchangeResponse struct {
	// Incarnation changes when the agent restarts; all its tasks are gone then.
	Incarnation uint64 `json:"incarnation"`
	// Stamp is the worker's monotonic clock when it wrote the answer.
	Stamp time.Duration `json:"stamp"`
	// Refused is set if the whole exchange was refused; nothing was done then.
	Refused RefusalCode `json:"refused,omitempty"`
	// HighestToken is the highest fencing token that the worker has seen.
	HighestToken uint64        `json:"highest_token"`
	Starts       []StartResult `json:"starts,omitempty"`
	// Running lists all running tasks; only in a full answer.
	Running []Running `json:"running,omitempty"`
	// Finished lists the ended attempts that no earlier answer has named; in a
	// full answer, all that are not acknowledged.
	Finished []Finished      `json:"finished,omitempty"`
	Usage    resource.Vector `json:"usage"`
	Capacity resource.Vector `json:"capacity"`
	Leaving  bool            `json:"leaving,omitempty"`
}

// StampMaxAge is the age of a stamp, by the worker's clock, from which on the
// worker refuses starts. It bounds how late a delayed start can take effect.
const StampMaxAge = 5 * time.Second

// Client talks to worker agents.
type Client interface {
	// Exchange sends one request to the worker at an address. An error that
	// carries verdict.DidNotRun means that the worker never got the request.
	Exchange(ctx context.Context, address string, req ExchangeRequest) (ExchangeResponse, error)
}
