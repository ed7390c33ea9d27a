// Package work defines jobs, tasks and their outcomes. It decides nothing.
package work

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// JobID identifies a job. Callers choose it, so that a repeated submission
// is recognised.
type JobID string

// Job is a set of equal tasks that one caller submitted for one team.
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
	// Idempotent is false if a task must be started at most once.
	Idempotent bool `json:"idempotent"`
	// Lease is how long a task may run without contact between its worker and
	// the shard owner, and so how long a lost task blocks its replacement.
	Lease time.Duration `json:"lease"`
	// Runtime is the declared run time of one task; zero if unknown.
	Runtime time.Duration `json:"runtime,omitempty"`
	// Deadline is the time from acceptance by which the job should have
	// finished; zero for none.
	Deadline time.Duration `json:"deadline,omitempty"`
	// Template names the family of jobs whose measured sizes and run times
	// are learned together.
	Template string `json:"template,omitempty"`
	// Command is opaque to the scheduler and passed to the worker.
	Command string `json:"command"`
}
