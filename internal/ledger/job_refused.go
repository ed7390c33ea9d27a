package ledger

import "github.com/medlarpulley/medlarpulley/internal/work"

// JobRefused reports a job that is not acceptable.
type JobRefused struct {
	Origin
	Job    work.JobID
	Reason string
}
