package scheduler

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/work"
)

// task is one task of this shard.
type task struct {
	run *attempt
	// since is when the task became queued.
	since    time.Duration
	attempts int32
	// failures counts ended attempts that failed or were lost.
	failures int32
	// extra counts attempts on hosts that are not the current one.
	extra int16
	state TaskState
	// ran is set once an attempt may have run.
	ran bool
	// own is set once this scheduler started an attempt.
	own     bool
	outcome work.Outcome
	// listed is set while the index is in the job's ready list.
	listed bool
	// delayed is set while a timer will make the task ready.
	delayed bool
}
