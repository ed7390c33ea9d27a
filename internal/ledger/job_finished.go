package ledger

import "github.com/medlarpulley/medlarpulley/internal/work"

// JobFinished reports that every task of a job has an outcome.
type JobFinished struct {
	Origin
	Job work.JobID
}
