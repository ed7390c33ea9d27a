package schedule

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/crash"
	"github.com/medlarpulley/medlarpulley/internal/cell/trial"
)

// task is one task of a submission.
type task struct {
	id    cell.TaskID
	group *group
	done  bool
	// runs are the runs that are or may be present.
	runs     []*taskRun
	failures []int64
	// evidence holds the crashes of hosts that the task may have caused; those of a gang
	// are recorded at its first task.
	evidence crash.Evidence
	// trial is the record of its trial; that of a gang is recorded at its first task.
	trial trial.Record
	// checkpoint is the newest one of the task; that of a gang is recorded at its first task.
	checkpoint string
	lastRun    int64
	// waitingSince is when the task became ready, or ready again after its last
	// run.
	waitingSince time.Duration
	// hungRuns is how many runs were stopped since they showed no progress; those of a gang
	// are counted at its first task.
	hungRuns int
	// failedOn is the host of the last failed run.
	failedOn string
}

// waiting reports whether the task is not done and has no run.
func (t *task) waiting() bool { return !t.done && len(t.runs) == 0 }

// resumesFrom returns the checkpoint from which the next run of the task resumes, empty if
// there is none.
func (t *task) resumesFrom() string { return t.countedAt().checkpoint }

// phase is the state of a run.
type phase uint8

const (
	// phaseStarting means that the start order is in flight.
	phaseStarting phase = iota
	// phaseUnanswered means that the start order got no answer, or that the run is
	// known only from the record of an earlier owner. If the host's next report does
	// not list the run, it is ordered to stop, since the start may still arrive.
	phaseUnanswered
	// phaseRunning means that the host has the run.
	phaseRunning
	// phaseStopping means that the run has been ordered to stop and is not known to
	// be gone.
	phaseStopping
)

// taskRun is one run of a task on one host. It counts against the host and the
// team until the run is known to be gone.
type taskRun struct {
	task      *task
	run       int64
	host      *host
	phase     phase
	orderedAt time.Duration
	// acceptedAt is when the run became known to be present.
	acceptedAt time.Duration
	// unansweredAt is when the start order timed out without an answer.
	unansweredAt time.Duration
	// stopAcceptedAt is when the host accepted the order to stop; zero before.
	stopAcceptedAt time.Duration
	stopReason     string
	// overTargetSince is when the tail latency rose above the task's target; zero
	// while it meets the target.
	overTargetSince time.Duration
	checkpoint      string
	// lastProgressAt is when the run last showed progress.
	lastProgressAt time.Duration
	// adopted is set for a run that this owner did not order, resumed for a run
	// that started from a checkpoint.
	adopted, resumed bool
	// suspected is set while the run may be the cause of a crash that is not confirmed
	// yet, recent if it had started right before the crash.
	suspected, recent bool
	// alone is set for a run that was started on a host without other runs, on which
	// nothing else is started before the run has ended or its task is cleared.
	alone bool
}
