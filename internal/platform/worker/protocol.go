// Package worker owns the interface to the agent on a worker host, and the HTTP
// client for it. A single call, Exchange, renews leases, starts and stops tasks
// and collects reports, so that control costs one message per host and interval.
package worker

import (
	"context"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// StopMode is the way in which a task is stopped.
type StopMode string

const (
	// Checkpoint asks the task to save its state and end.
	Checkpoint StopMode = "checkpoint"
	// Throttle slows the task down but keeps it running.
	Throttle StopMode = "throttle"
	// Kill ends the task at once.
	Kill StopMode = "kill"
)

// Start is a request to start a task attempt.
type Start struct {
	Attempt work.AttemptID  `json:"attempt"`
	Size    resource.Vector `json:"size"`
	// Lease is how long the task may run without a lease renewal.
	Lease   time.Duration `json:"lease"`
	Command string        `json:"command"`
}

// Stop is a request to stop a task attempt.
type Stop struct {
	Attempt work.AttemptID `json:"attempt"`
	Mode    StopMode       `json:"mode"`
}

// ExchangeRequest is the request of a shard owner to a worker.
type ExchangeRequest struct {
	Shard string `json:"shard"`
	// Token is the fencing token of the owner. A worker refuses a token below
	// the highest that it has seen.
	Token uint64 `json:"token"`
	// Incarnation is the worker incarnation that Stamp belongs to; zero in the
	// first exchange with a worker.
	Incarnation uint64 `json:"incarnation,omitempty"`
	// Stamp echoes the latest clock reading that the owner received from the
	// worker. The worker extends leases to Stamp plus their length and refuses
	// starts if Stamp is too old, so a delayed message cannot extend a lease
	// beyond that or start a task late.
	Stamp time.Duration `json:"stamp,omitempty"`
	// Wait is the long-poll timeout: how long the worker may hold the response
	// while no task ends.
	Wait time.Duration `json:"wait,omitempty"`
	// Full asks for the list of all running tasks.
	Full   bool    `json:"full,omitempty"`
	Starts []Start `json:"starts,omitempty"`
	Stops  []Stop  `json:"stops,omitempty"`
	// Acks are the finished attempts whose reports the worker may delete.
	Acks []work.AttemptID `json:"acks,omitempty"`
}

// RefusalCode is the reason why a worker refused an exchange or a start.
type RefusalCode string

const (
	// StaleToken means that the worker has seen a higher fencing token.
	StaleToken RefusalCode = "stale-token"
	// StaleStamp means that the stamp is too old or belongs to another
	// incarnation, or that the lease would have expired already.
	StaleStamp RefusalCode = "stale-stamp"
	// NoRoom means that the free capacity is too small for the task.
	NoRoom RefusalCode = "no-room"
	// Duplicate means that the worker already runs the task, or has already run
	// the attempt.
	Duplicate RefusalCode = "duplicate"
	// LeavingHost means that the host is leaving and accepts no new tasks.
	LeavingHost RefusalCode = "leaving"
)

// StartResult is the result of one Start. An empty Refused means that the task
// was started.
type StartResult struct {
	Attempt work.AttemptID `json:"attempt"`
	Refused RefusalCode    `json:"refused,omitempty"`
}

// Running describes a task that is running on the worker.
type Running struct {
	Attempt work.AttemptID  `json:"attempt"`
	Size    resource.Vector `json:"size"`
	// Lease is the length of the lease of the task.
	Lease time.Duration `json:"lease"`
	// Age is the time since the task started.
	Age time.Duration `json:"age"`
	// Usage is the measured resource usage of the task; it lags behind.
	Usage resource.Vector `json:"usage"`
}

// Finished is the report of an attempt that has ended.
type Finished struct {
	Attempt work.AttemptID  `json:"attempt"`
	Outcome work.Outcome    `json:"outcome"`
	Ran     time.Duration   `json:"ran"`
	Peak    resource.Vector `json:"peak"`
	// Checkpointed is true if the task saved its state before it ended.
	Checkpointed bool `json:"checkpointed,omitempty"`
}

// ExchangeResponse is the response of a worker to an exchange.
type ExchangeResponse struct {
	// Incarnation changes when the agent restarts, which ends all its tasks.
	Incarnation uint64 `json:"incarnation"`
	// Stamp is the reading of the worker's monotonic clock when it created the
	// response.
	Stamp time.Duration `json:"stamp"`
	// Refused is set if the worker refused the whole exchange and did nothing.
	Refused RefusalCode `json:"refused,omitempty"`
	// HighestToken is the highest fencing token that the worker has seen.
	HighestToken uint64        `json:"highest_token"`
	Starts       []StartResult `json:"starts,omitempty"`
	// Running lists all running tasks; it is set only in a full response.
	Running []Running `json:"running,omitempty"`
	// Finished lists the ended attempts that no earlier response has listed. In a
	// full response it lists all that are not acknowledged.
	Finished []Finished      `json:"finished,omitempty"`
	Usage    resource.Vector `json:"usage"`
	Capacity resource.Vector `json:"capacity"`
	Leaving  bool            `json:"leaving,omitempty"`
}

// StampMaxAge is the maximum age of a stamp by the worker's clock. The worker
// refuses starts with an older stamp, which limits how late a delayed start can
// take effect.
const StampMaxAge = 5 * time.Second

// Client sends requests to worker agents.
type Client interface {
	// Exchange sends one request to the worker at an address. If an error
	// carries verdict.DidNotRun, the worker never received the request.
	Exchange(ctx context.Context, address string, req ExchangeRequest) (ExchangeResponse, error)
}
