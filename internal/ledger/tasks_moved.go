package ledger

import "github.com/medlarpulley/medlarpulley/internal/work"

// TasksMoved reports that a range of tasks of a job moved from home shard FromShard
// to home shard ToShard.
type TasksMoved struct {
	Origin
	Job       work.JobID
	First     int32
	Count     int32
	FromShard string
	ToShard   string
}
