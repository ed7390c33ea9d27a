package ledger

import "github.com/medlarpulley/medlarpulley/internal/work"

// JobDuplicate reports a job that was accepted before with equal content.
type JobDuplicate struct {
	Origin
	Job work.JobID
}
