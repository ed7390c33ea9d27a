package work

import "fmt"

// TaskID identifies one task of a job.
type TaskID struct {
	Job   JobID `json:"job"`
	Index int32 `json:"index"`
}

// String returns the form "job/index".
func (t TaskID) String() string { return fmt.Sprintf("%s/%d", t.Job, t.Index) }

// AttemptID identifies one attempt to run a task. Attempts are numbered from 1.
type AttemptID struct {
	Task    TaskID `json:"task"`
	Attempt int32  `json:"attempt"`
}

// String returns the form "job/index#attempt".
func (a AttemptID) String() string { return fmt.Sprintf("%s#%d", a.Task, a.Attempt) }
