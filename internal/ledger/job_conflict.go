package ledger

import "github.com/medlarpulley/medlarpulley/internal/work"

// JobConflict reports that a job was refused because its id belongs to a job with
// different content.
type JobConflict struct {
	Origin
	Job work.JobID
}
