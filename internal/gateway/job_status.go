package gateway

import "github.com/medlarpulley/medlarpulley/internal/verdict"

// JobStatus is what is known about a job.
type JobStatus struct {
	ID    string `json:"id"`
	Team  string `json:"team"`
	Queue string `json:"queue"`
	// State is waiting, running or ended.
	State string `json:"state"`
	// Tasks counts the tasks by state: the names of work.Outcome, and running.
	Tasks map[string]int32 `json:"tasks"`
	// Execution says whether any task may have run. It differs from the
	// verdict of the answer, which is about the operation that was asked for.
	Execution verdict.Verdict `json:"execution"`
	// Position is the next position of the job's event stream.
	Position uint64 `json:"position"`
	Reason   string `json:"reason,omitempty"`
}

// The states of a job.
const (
	StateWaiting = "waiting"
	StateRunning = "running"
	StateEnded   = "ended"
)
