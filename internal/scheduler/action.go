package scheduler

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// Action is a request of the scheduler to its caller.
type Action interface{ isAction() }

// StartTask requests that a host starts an attempt.
type StartTask struct {
	Attempt    work.AttemptID
	Host       string
	Size       resource.Vector
	Lease      time.Duration
	Command    string
	Idempotent bool
	Class      work.Class
	// Waited is the time from the acceptance of the job, or from the end of the
	// previous attempt, to this decision.
	Waited time.Duration
}

// StopTask requests that a host stops an attempt.
type StopTask struct {
	Attempt work.AttemptID
	Host    string
	Mode    StopMode
	Reason  string
}

// StopMode is how a task is stopped.
type StopMode uint8

const (
	// StopCheckpoint asks the task to save its state and end.
	StopCheckpoint StopMode = iota
	// StopThrottle slows the task down.
	StopThrottle
	// StopKill ends the task at once.
	StopKill
)

// EndTask sets the final outcome of a task of this shard.
type EndTask struct {
	Task    work.TaskID
	Outcome work.Outcome
	Reason  string
}

// OfferTasks offers tasks that have not started and for which this shard or the
// limit has too little free capacity for now, so that the owner can move them
// to another shard.
type OfferTasks struct {
	Job   work.JobID
	First int32
	Count int32
	Size  resource.Vector
	// Limit is set if a host has free capacity, so that the tasks wait only for
	// units of this limit. LimitUnits is what one start takes.
	Limit      string
	LimitUnits int64
}

func (StartTask) isAction()  {}
func (StopTask) isAction()   {}
func (EndTask) isAction()    {}
func (OfferTasks) isAction() {}
