package dispatch

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/scheduler"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// Hold holds room for all waiting tasks of a spanning gang for a time from now
// on, and reports whether it is granted.
func (s *Shard) Hold(id work.JobID, hold string, validity time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.mayStart() || s.held[id] != nil {
		return false
	}
	s.apply(scheduler.HoldRequested{Hold: hold, Job: id, Until: s.o.Clock() + validity})
	return s.sched.HoldGranted(id, hold)
}

// ReleaseHold gives a hold back.
func (s *Shard) ReleaseHold(id work.JobID, hold string) {
	s.Apply(scheduler.HoldReleased{Hold: hold, Job: id})
}

// ConfirmHold lets the tasks of a hold start and reports whether it did, now or
// by an earlier call.
func (s *Shard) ConfirmHold(id work.JobID, hold string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.mayStart() {
		return false
	}
	s.apply(scheduler.HoldConfirmed{Hold: hold, Job: id})
	s.decideSoon()
	return s.sched.HoldStarted(id, hold)
}

// KeepGang notes that all parts of a gang run.
func (s *Shard) KeepGang(id work.JobID) { s.Apply(scheduler.GangKept{Job: id}) }

// StopGang stops the part of a gang by checkpoint, if it is idempotent.
func (s *Shard) StopGang(id work.JobID) { s.Apply(scheduler.GangStopped{Job: id}) }

// PartState returns the state of the part of a gang. It is unknown until it is
// clear what the previous owner started.
func (s *Shard) PartState(id work.JobID) scheduler.PartState {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held[id] != nil || s.fenced || !s.o.Authority() {
		return scheduler.PartUnknown
	}
	return s.sched.PartState(id)
}

// mayStart reports whether new tasks may start. The lock must be held.
func (s *Shard) mayStart() bool { return !s.fenced && !s.draining && s.o.Authority() }
