package worker

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/platform/worker"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// never is later than any clock reading.
const never = time.Duration(1<<63 - 1)

// failAfter is how long a task runs on a host that fails everything.
const failAfter = 5 * time.Millisecond

// task is one running attempt.
type task struct {
	start    worker.Start
	journal  int
	began    time.Duration
	endsAt   time.Duration
	leaseEnd time.Duration
	outcome  work.Outcome
	// stopped is set when the agent was asked to stop the task.
	stopped      bool
	checkpointed bool
}

// end returns when and how the task ends if nothing more happens.
func (t *task) end(ignoreLease bool) (time.Duration, work.Outcome) {
	if !ignoreLease && t.leaseEnd < t.endsAt {
		return t.leaseEnd, work.Stopped
	}
	return t.endsAt, t.outcome
}

// stop ends the task at a time.
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
