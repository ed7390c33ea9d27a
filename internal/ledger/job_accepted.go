package ledger

import "github.com/medlarpulley/medlarpulley/internal/work"

// JobAccepted reports that a new job was accepted.
type JobAccepted struct {
	Origin
	Job   work.Job
	Parts []Part
}
