package gateway

import "github.com/medlarpulley/medlarpulley/internal/verdict"

// JobStatus is what is known about a job.
type JobStatus struct {
	ID    string `json:"id"`
	Team  string `json:"team"`
	Queue string `json:"queue"`
	// State is waiting, running or ended.
	State string `json:"state"`
	// Tasks counts the tasks by state: the names of work.Outcome, or running.
	Tasks map[string]int32 `json:"tasks"`
	// Execution says whether any task may have run. It is separate from the
	// verdict of the response, which is about the requested operation.
	Execution verdict.Verdict `json:"execution"`
	// Position is the position of the next event of the job.
	Position uint64 `json:"position"`
	Reason   string `json:"reason,omitempty"`
}

// States of a job.
const (
	StateWaiting = "waiting"
	StateRunning = "running"
	StateEnded   = "ended"
)
