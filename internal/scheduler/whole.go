package scheduler

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/work"
)

// PartState is what the part of a spanning gang in one shard does.
type PartState uint8

const (
	// PartUnknown is not, or no longer, in the shard.
	PartUnknown PartState = iota
	// PartIdle waits and may be held; nothing of it runs.
	PartIdle
	// PartRunning has an attempt for each task without an outcome.
	PartRunning
	// PartMixed is on the way from one to the other.
	PartMixed
	// PartDone has all its outcomes.
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
	case j.uncertain:
		return PartMixed
	case j.live == 0 && j.waiting == j.pending:
		return PartIdle
	}
	running := true
	j.each(func(_ int32, t *task) {
		if t.state != TaskDone && t.state != TaskMoved && (t.run == nil || t.run.ending()) {
			running = false
		}
	})
	if running {
		return PartRunning
	}
	return PartMixed
}

// watchWhole stops the part in Options.WholeFor unless its coordinator says
// until then that the gang is whole.
func (s *Scheduler) watchWhole(j *job) {
	j.wholeUntil = s.now + s.options.WholeFor
	if !j.wholeTimer {
		j.wholeTimer = true
		s.timers.add(timer{at: j.wholeUntil, kind: timerWhole, job: j})
	}
}

// checkWhole stops a part whose coordinator was silent for too long.
func (s *Scheduler) checkWhole(j *job) {
	j.wholeTimer = false
	if s.jobs[j.spec.ID] != j || j.live == 0 {
		return
	}
	if j.wholeUntil > s.now {
		j.wholeTimer = true
		s.timers.add(timer{at: j.wholeUntil, kind: timerWhole, job: j})
		return
	}
	s.stopPart(j, "the coordinator of the gang does not say that it is whole")
}

// stopPart stops an idempotent part by checkpoint. Started non-idempotent
// tasks run to their end.
func (s *Scheduler) stopPart(j *job, reason string) {
	s.dropHold(j)
	if !j.spec.Idempotent {
		return
	}
	j.each(func(_ int32, t *task) {
		if t.run != nil {
			s.stop(t.run, StopCheckpoint, reason)
		}
	})
}

func (s *Scheduler) gangKept(ev GangKept) {
	if j := s.jobs[ev.Job]; j != nil && j.spanning {
		s.watchWhole(j)
	}
}

func (s *Scheduler) gangStopped(ev GangStopped) {
	if j := s.jobs[ev.Job]; j != nil && j.spanning {
		s.stopPart(j, "another part of the gang does not run")
	}
}

// firstWaiting returns, per limit, the spanning gang that was accepted first.
// Only it counts as demand: with all of them the shards could each draw units
// for another gang, and none would have enough.
func (s *Scheduler) firstWaiting() map[*limit]*job {
	first := map[*limit]*job{}
	for _, j := range s.spanning {
		if j.closed || j.waiting == 0 || j.team.limit == nil {
			continue
		}
		if k := first[j.team.limit]; k == nil || j.offset < k.offset {
			first[j.team.limit] = j
		}
	}
	return first
}

// wholeFor is the default of Options.WholeFor. It is above the time in which
// another process takes the coordinator's shard over.
const wholeFor = 30 * time.Second
