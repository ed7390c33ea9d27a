package schedule

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

// task is one task of a submission.
type task struct {
	id    cell.TaskID
	group *group
	done  bool
	// attempts are the runs that are or may be present.
	attempts   []*attempt
	failures   []int64
	checkpoint string
	lastRun    int64
	// waitingSince is when the task's turn came or came again.
	waitingSince time.Duration
	// failedOn is the host of the last failed run.
	failedOn string
}

// waiting reports whether the task is to be started.
func (t *task) waiting() bool { return !t.done && len(t.attempts) == 0 }

// phase is the state of an attempt.
type phase uint8

const (
	// phaseStarting: the order is on its way.
	phaseStarting phase = iota
	// phaseUnknown: the order got no answer; a look at the host decides.
	phaseUnknown
	// phaseRunning: the host has the run.
	phaseRunning
	// phaseStopping: the end has been ordered and is not listed yet.
	phaseStopping
)

// attempt is one run of a task on one host. It counts against the host and the
// team until the run is known to be gone.
type attempt struct {
	task      *task
	run       int64
	host      *host
	phase     phase
	orderedAt time.Duration
	// acceptedAt is when the run was known to be present.
	acceptedAt time.Duration
	// unknownAt is when the start order was given up without an answer.
	unknownAt time.Duration
	// stopAnsweredAt is when the host answered the order to stop; zero before.
	stopAnsweredAt time.Duration
	stopReason     string
	// overSince is when the tail of a task that serves rose over its target; zero
	// while it is below.
	overSince  time.Duration
	checkpoint string
	// movedAt is when the run last showed progress.
	movedAt time.Duration
	// adopted is set for a run that this owner did not order, resumed for one
	// that went on from a checkpoint.
	adopted, resumed bool
}
