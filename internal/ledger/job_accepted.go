package ledger

import "github.com/medlarpulley/medlarpulley/internal/work"

// JobAccepted reports a new job.
type JobAccepted struct {
	Origin
	Job   work.Job
	Parts []Part
}
