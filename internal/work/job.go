// Package work defines jobs, tasks and their outcomes. It makes no decisions.
package work

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// JobID identifies a job. It is chosen by the caller, so that a repeated submission
// is detected.
type JobID string

// Job is a set of identical tasks that a caller submitted for a team.
type Job struct {
	ID    JobID  `json:"id"`
	Team  string `json:"team"`
	Queue string `json:"queue"`
	Kind  Kind   `json:"kind"`
	Class Class  `json:"class"`
	// Tasks is the number of tasks, with indices 0 to Tasks-1.
	Tasks int32 `json:"tasks"`
	// Size is the declared size of one task.
	Size resource.Vector `json:"size"`
	// Idempotent is true if a task may be started more than once.
	Idempotent bool `json:"idempotent"`
	// Lease is the time for which a task may run without contact between its
	// worker and the shard owner. A lost task is not replaced before this time has
	// passed.
	Lease time.Duration `json:"lease"`
	// Runtime is the declared run time of one task; zero if unknown.
	Runtime time.Duration `json:"runtime,omitempty"`
	// Deadline is the time after acceptance within which the job should finish;
	// zero for none.
	Deadline time.Duration `json:"deadline,omitempty"`
	// Template is the name under which the measured resource use and run times of
	// similar jobs are learned together.
	Template string `json:"template,omitempty"`
	// Command is passed to the worker; the scheduler does not interpret it.
	Command string `json:"command"`
}
