package ledger

import "github.com/medlarpulley/medlarpulley/internal/work"

// OutcomesApplied reports which outcomes of tasks of a job took effect.
type OutcomesApplied struct {
	Origin
	Shard string
	Job   work.JobID
	// Ranges are the tasks whose outcome changed, with the new outcome.
	Ranges []OutcomeRange
	// Ignored is the number of tasks in the record whose outcome did not change.
	Ignored int32
}
