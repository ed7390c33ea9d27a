package admission

import "time"

// Request is a submission to decide on.
type Request struct {
	ID, Team, Queue string
	// Work is how long the submission takes if it never waits, Latest how long it may take until
	// its result is of no use any more.
	Work, Latest time.Duration
}
