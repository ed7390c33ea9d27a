package scheduler

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/work"
)

// task is one task of this shard.
type task struct {
	currentAttempt *attempt
	// queuedSince is when the task became queued.
	queuedSince time.Duration
	attempts    int32
	// failures counts the failed attempts since the last healthy run.
	failures int32
	// otherAttempts counts attempts on hosts that are not the current one.
	otherAttempts int16
	state         TaskState
	// mayHaveRun is set once an attempt may have run.
	mayHaveRun bool
	// startedHere is set once this scheduler started an attempt.
	startedHere bool
	outcome     work.Outcome
	// inReady is set while the index is in the ready list of the job.
	inReady bool
	// delayed is set while a timer will make the task startable.
	delayed bool
}
