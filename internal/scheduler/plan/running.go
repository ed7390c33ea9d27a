package plan

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// Running is the view of a task that uses capacity of a host.
type Running struct {
	Size resource.Vector
	// Remaining is the expected time until the task ends.
	Remaining time.Duration
	// LostWork is the work that is lost if the task is stopped, as run time.
	LostWork time.Duration
	// Stoppable is true if the task may be preempted for the request.
	Stoppable bool
	// Stopping is true if the task is already being stopped.
	Stopping bool
}

// TaskSelection is a selection of running tasks, as indices, and its cost. The
// cost is defined by the interface that returns it.
type TaskSelection struct {
	Tasks []int
	Cost  time.Duration
}
