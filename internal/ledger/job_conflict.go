package ledger

import "github.com/medlarpulley/medlarpulley/internal/work"

// JobConflict reports a job whose id belongs to a job of other content.
type JobConflict struct {
	Origin
	Job work.JobID
}
