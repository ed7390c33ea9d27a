package ledger

import "github.com/medlarpulley/medlarpulley/internal/work"

// TasksMoved reports that a range of tasks of a job moved from home shard Shard to
// home shard To.
type TasksMoved struct {
	Origin
	Job   work.JobID
	First int32
	Count int32
	Shard string
	To    string
}
