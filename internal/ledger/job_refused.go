package ledger

import "github.com/medlarpulley/medlarpulley/internal/work"

// JobRefused reports that a job was refused because it is invalid, there are
// too many unfinished jobs, or the texts of all stored jobs would be too long.
type JobRefused struct {
	Origin
	Job    work.JobID
	Reason string
}
