package dispatch

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/scheduler"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// Hold reserves capacity for all waiting tasks of the part of a spanning gang in
// this shard. The reservation expires after validity. Hold reports whether it was
// granted.
func (s *Dispatcher) Hold(id work.JobID, hold string, validity time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.mayStart() || s.withheldJobs[id] != nil {
		return false
	}
	s.apply(scheduler.HoldRequested{Hold: hold, Job: id, Until: s.o.Clock() + validity})
	return s.sched.HoldGranted(id, hold)
}

// ReleaseHold releases a reservation made by Hold.
func (s *Dispatcher) ReleaseHold(id work.JobID, hold string) {
	s.Apply(scheduler.HoldReleased{Hold: hold, Job: id})
}

// ConfirmHold starts the tasks of a hold. It reports whether they were started, by
// this call or by an earlier one.
func (s *Dispatcher) ConfirmHold(id work.JobID, hold string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.mayStart() {
		return false
	}
	s.apply(scheduler.HoldConfirmed{Hold: hold, Job: id})
	s.requestDecision()
	return s.sched.HoldStarted(id, hold)
}

// MarkGangRunning records that all parts of a gang are running, so that the part
// in this shard is not stopped.
func (s *Dispatcher) MarkGangRunning(id work.JobID) { s.Apply(scheduler.GangRunning{Job: id}) }

// StopGang stops the part of a gang in this shard by checkpoint, if the gang is
// idempotent.
func (s *Dispatcher) StopGang(id work.JobID) { s.Apply(scheduler.GangStopped{Job: id}) }

// PartState returns the state of the part of a gang in this shard. It is
// scheduler.PartUnknown until it is known which tasks the previous owner started.
func (s *Dispatcher) PartState(id work.JobID) scheduler.PartState {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.withheldJobs[id] != nil || s.fenced || !s.o.Authority() {
		return scheduler.PartUnknown
	}
	return s.sched.PartState(id)
}

// mayStart reports whether new tasks may start. s.mu must be held.
func (s *Dispatcher) mayStart() bool { return !s.fenced && !s.draining && s.o.Authority() }
