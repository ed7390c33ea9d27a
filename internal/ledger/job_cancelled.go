package ledger

import "github.com/medlarpulley/medlarpulley/internal/work"

// JobCancelled reports the cancellation of a job.
type JobCancelled struct {
	Origin
	Job   work.JobID
	Parts []Part
}
