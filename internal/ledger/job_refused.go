package ledger

import "github.com/medlarpulley/medlarpulley/internal/work"

// JobRefused reports that a job was refused because it is invalid or there are
// too many jobs.
type JobRefused struct {
	Origin
	Job    work.JobID
	Reason string
}
