package ledger

import "github.com/medlarpulley/medlarpulley/internal/work"

// TasksMoved reports that tasks have a new home shard.
type TasksMoved struct {
	Origin
	Job   work.JobID
	First int32
	Count int32
	Shard string
	To    string
}
