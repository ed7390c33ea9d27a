package ledger

import "github.com/medlarpulley/medlarpulley/internal/work"

// OutcomesApplied reports the outcomes of tasks of a job.
type OutcomesApplied struct {
	Origin
	Shard string
	Job   work.JobID
	// Ranges are the tasks whose outcome changed.
	Ranges []OutcomeRange
	// Ignored is the number of named tasks whose outcome did not change.
	Ignored int32
}
