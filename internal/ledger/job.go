package ledger

import (
	"maps"
	"slices"

	"github.com/medlarpulley/medlarpulley/internal/work"
)

// Job is an accepted job and the state of its tasks according to the log.
type Job struct {
	Job work.Job `json:"job"`
	// Accepted is the offset of the record that accepted the job.
	Accepted uint64 `json:"accepted"`
	// Cancelled is the offset of the cancellation, or zero.
	Cancelled uint64 `json:"cancelled,omitempty"`
	// Parts are sorted by First and cover every task exactly once.
	Parts []Part `json:"parts"`
	// Outcomes are sorted by First. A task that no range contains is pending.
	Outcomes []OutcomeRange `json:"outcomes,omitempty"`
	// Intents maps a task index to the highest attempt number that has an
	// intent. It is nil once the job is finished.
	Intents map[int32]int32 `json:"intents,omitempty"`
	// Done is the number of tasks with an outcome.
	Done int32 `json:"done"`
}

// Finished reports whether every task has an outcome.
func (j *Job) Finished() bool { return j.Done == j.Job.Tasks }

// Outcome returns the outcome of a task, or work.Pending if it has none.
func (j *Job) Outcome(index int32) work.Outcome {
	i, found := slices.BinarySearchFunc(j.Outcomes, index, func(r OutcomeRange, index int32) int {
		if r.end() <= index {
			return -1
		} else if r.First > index {
			return 1
		}
		return 0
	})
	if !found {
		return work.Pending
	}
	return j.Outcomes[i].Outcome
}

// ShardOf returns the home shard of a task, or an empty string if the job has no
// such task.
func (j *Job) ShardOf(index int32) string {
	for _, p := range j.Parts {
		if index >= p.First && index < p.end() {
			return p.Shard
		}
	}
	return ""
}

// clone returns a copy that shares no mutable data with j.
func (j *Job) clone() Job {
	c := *j
	c.Parts = slices.Clone(j.Parts)
	c.Outcomes = slices.Clone(j.Outcomes)
	c.Intents = maps.Clone(j.Intents)
	return c
}
