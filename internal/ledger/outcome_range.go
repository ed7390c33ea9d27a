package ledger

import "github.com/medlarpulley/medlarpulley/internal/work"

// OutcomeRange is a range of tasks with the same outcome.
type OutcomeRange struct {
	First   int32        `json:"first"`
	Count   int32        `json:"count"`
	Outcome work.Outcome `json:"outcome"`
}

// end returns the index after the last task of the range.
func (r OutcomeRange) end() int32 { return r.First + r.Count }
