package worker

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/platform/worker"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// never is a time later than any clock reading.
const never = time.Duration(1<<63 - 1)

// failureDelay is how long a task runs under the fault FailAll, or with an invalid
// command.
const failureDelay = 5 * time.Millisecond

// task is one running task attempt.
type task struct {
	start        worker.Start
	journalIndex int
	startedAt    time.Duration
	endsAt       time.Duration
	leaseEnd     time.Duration
	outcome      work.Outcome
	// stopped is set if the task ended because of a stop request.
	stopped      bool
	checkpointed bool
}

// end returns the time and the outcome of the task's end if it gets no further
// request.
func (t *task) end(ignoreLease bool) (time.Duration, work.Outcome) {
	if !ignoreLease && t.leaseEnd < t.endsAt {
		return t.leaseEnd, work.Stopped
	}
	return t.endsAt, t.outcome
}

// stop applies a stop request. Throttle doubles the remaining run time; the other
// modes end the task at now.
func (t *task) stop(now time.Duration, mode worker.StopMode) {
	switch mode {
	case worker.Throttle:
		if t.endsAt != never && t.endsAt > now {
			t.endsAt += t.endsAt - now
		}
	default:
		if t.endsAt > now {
			t.endsAt, t.outcome = now, work.Stopped
			t.stopped, t.checkpointed = true, mode == worker.Checkpoint
		}
	}
}
