package scheduler

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/work"
)

// PartState is the state of the part of a spanning gang in one shard.
type PartState uint8

const (
	// PartUnknown means that the part is not, or no longer, in the shard.
	PartUnknown PartState = iota
	// PartIdle means that the whole part waits and none of it runs; it may be
	// held.
	PartIdle
	// PartRunning means that each task without an outcome has an attempt.
	PartRunning
	// PartMixed means that the part changes between idle and running, or that
	// some of its tasks may run unnoticed.
	PartMixed
	// PartDone means that all tasks of the part have an outcome.
	PartDone
)

// PartState returns the state of the part of a spanning gang.
func (s *Scheduler) PartState(id work.JobID) PartState {
	j := s.jobs[id]
	switch {
	case j == nil:
		return PartUnknown
	case j.pending == 0:
		return PartDone
	case j.mayHaveUnadoptedAttempts:
		return PartMixed
	case j.live == 0 && j.waiting == j.pending:
		return PartIdle
	}
	running := true
	j.forEachTask(func(_ int32, t *task) {
		if t.state != TaskDone && t.state != TaskMoved && (t.currentAttempt == nil || t.currentAttempt.ending()) {
			running = false
		}
	})
	if running {
		return PartRunning
	}
	return PartMixed
}

// extendGangDeadline lets the part run for another
// Options.GangRunningTimeout. It stops then unless its coordinator reports before
// that all parts run.
func (s *Scheduler) extendGangDeadline(j *job) {
	j.gangDeadline = s.now + s.options.GangRunningTimeout
	if !j.gangDeadlineTimer {
		j.gangDeadlineTimer = true
		s.timers.add(timer{at: j.gangDeadline, kind: timerGangDeadline, job: j})
	}
}

// checkGangDeadline stops a part whose coordinator has not reported in time.
func (s *Scheduler) checkGangDeadline(j *job) {
	j.gangDeadlineTimer = false
	if s.jobs[j.spec.ID] != j || j.live == 0 {
		return
	}
	if j.gangDeadline > s.now {
		j.gangDeadlineTimer = true
		s.timers.add(timer{at: j.gangDeadline, kind: timerGangDeadline, job: j})
		return
	}
	s.stopPart(j, "the coordinator of the gang did not report in time that all parts run")
}

// stopPart stops an idempotent part by checkpoint. Started non-idempotent tasks
// run to their end.
func (s *Scheduler) stopPart(j *job, reason string) {
	s.dropHold(j)
	if !j.spec.Idempotent {
		return
	}
	j.forEachTask(func(_ int32, t *task) {
		if t.currentAttempt != nil {
			s.stop(t.currentAttempt, StopCheckpoint, reason)
		}
	})
}

func (s *Scheduler) gangRunning(ev GangRunning) {
	if j := s.jobs[ev.Job]; j != nil && j.spanning {
		s.extendGangDeadline(j)
	}
}

func (s *Scheduler) gangStopped(ev GangStopped) {
	if j := s.jobs[ev.Job]; j != nil && j.spanning {
		s.stopPart(j, "another part of the gang is not running")
	}
}

// firstSpanningByLimit returns, per limit, the spanning gang that was accepted
// first among those that wait. Only it counts as demand: if all did, each shard
// could draw units for another gang, and none would have enough.
func (s *Scheduler) firstSpanningByLimit() map[*limit]*job {
	firstByLimit := map[*limit]*job{}
	for _, j := range s.spanningGangs {
		if j.closed || j.waiting == 0 || j.team.limit == nil {
			continue
		}
		if k := firstByLimit[j.team.limit]; k == nil || j.offset < k.offset {
			firstByLimit[j.team.limit] = j
		}
	}
	return firstByLimit
}

// defaultGangRunningTimeout is the default of Options.GangRunningTimeout. It
// is longer than another process takes to take over the coordinator's shard.
const defaultGangRunningTimeout = 30 * time.Second
