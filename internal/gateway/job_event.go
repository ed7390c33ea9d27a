package gateway

import "github.com/medlarpulley/medlarpulley/internal/verdict"

// JobEvent is one line of the event stream of a job.
type JobEvent struct {
	// Position is derived from the log offset of the last known change of the job.
	// It may be lower than that of an earlier event once the job has finished. To
	// resume a stream after this event, request Position + 1; the stream then
	// starts with all known outcomes again.
	Position uint64 `json:"position"`
	// Task is the index of the task, or -1 for an event of the job itself.
	Task    int32  `json:"task"`
	Attempt int32  `json:"attempt,omitempty"`
	State   string `json:"state"`
	Host    string `json:"host,omitempty"`
	// Verdict says whether the task may have run.
	Verdict verdict.Verdict `json:"verdict"`
	Reason  string          `json:"reason,omitempty"`
	// End marks the last event of a job.
	End bool `json:"end,omitempty"`
}

// WatchLine is one line of a watch: an event, a heartbeat that shows that the
// connection is alive, or the problem that ended the stream.
type WatchLine struct {
	Event     *JobEvent `json:"event,omitempty"`
	Heartbeat bool      `json:"heartbeat,omitempty"`
	Error     *Problem  `json:"error,omitempty"`
}
