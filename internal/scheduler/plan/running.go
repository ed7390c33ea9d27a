package plan

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// Running is a task that occupies a host.
type Running struct {
	Size resource.Vector
	// Remaining is the expected time until the task ends.
	Remaining time.Duration
	// Lost is the work that a stop would lose.
	Lost time.Duration
	// Stoppable is set if the task may be preempted for the request.
	Stoppable bool
	// Ending is set if the task is being stopped already.
	Ending bool
}

// Drain is a set of running tasks, as indices, and its cost.
type Drain struct {
	Tasks []int
	Cost  time.Duration
}
