package schedule

import (
	"slices"
	"strings"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

const (
	// fullPause is the wait after a host had no room for what should fit.
	fullPause = 300 * time.Millisecond
	// unhealthyPause is the wait after a host refused to do anything.
	unhealthyPause = 1500 * time.Millisecond
	// invalidPause is the wait after a host found an order malformed.
	invalidPause = 5 * time.Second
)

// Refusal tells why a start certainly did not happen.
type Refusal uint8

// The reasons of a refusal that matter to decisions.
const (
	// RefusedRun: that run can no longer begin there, or its lease was over.
	RefusedRun Refusal = iota
	RefusedRoom
	RefusedTicket
	RefusedUnhealthy
	RefusedInvalid
)

func (s *Scheduler) attempt(id string, task cell.TaskID, run int64) *attempt {
	if h := s.hosts[id]; h != nil {
		return h.attempts[runKey{task, run}]
	}
	return nil
}

// Started records that a host accepted a start.
func (s *Scheduler) Started(host string, task cell.TaskID, run int64, now time.Duration) {
	s.now = now
	a := s.attempt(host, task, run)
	if a == nil {
		return
	}
	if a.phase == phaseStarting || a.phase == phaseUnknown {
		a.phase = phaseRunning
	}
	a.acceptedAt, a.movedAt = now, now
}

// Refused records that a start certainly did not happen.
func (s *Scheduler) Refused(host string, task cell.TaskID, run int64, why Refusal, now time.Duration) {
	s.now = now
	a := s.attempt(host, task, run)
	if a == nil {
		return
	}
	h, g := a.host, a.task.group
	switch why {
	case RefusedRoom:
		h.health.avoid(now, fullPause)
	case RefusedTicket:
		g.advice.tickets[h] = ticket{}
	case RefusedUnhealthy:
		h.health.avoid(now, unhealthyPause)
	case RefusedInvalid:
		h.health.avoid(now, invalidPause)
	}
	s.detach(a)
}

// Unanswered records that a start got no answer and may have happened.
func (s *Scheduler) Unanswered(host string, task cell.TaskID, run int64, now time.Duration) {
	s.now = now
	if a := s.attempt(host, task, run); a != nil && a.phase == phaseStarting {
		a.phase, a.unknownAt = phaseUnknown, now
	}
}

// StopAnswered records that a host answered the order to stop a run.
func (s *Scheduler) StopAnswered(host string, task cell.TaskID, run int64, now time.Duration) {
	s.now = now
	if a := s.attempt(host, task, run); a != nil && a.phase == phaseStopping {
		a.stopAnsweredAt = now
	}
}

// StopUnanswered orders a stop again that got no answer.
func (s *Scheduler) StopUnanswered(host string, task cell.TaskID, run int64, now time.Duration) {
	s.now = now
	if a := s.attempt(host, task, run); a != nil && a.phase == phaseStopping && a.stopAnsweredAt == 0 {
		s.plan.Stops = append(s.plan.Stops, Stop{Task: task, Run: run, Host: host, Reason: a.stopReason})
	}
}

// Silent records that a host does not answer. It gets no new work.
func (s *Scheduler) Silent(id string) {
	if h := s.hosts[id]; h != nil {
		h.reachable = false
	}
}

// Lapsed records that every lease on a host is over for certain.
func (s *Scheduler) Lapsed(id string, now time.Duration) {
	s.now = now
	if h := s.hosts[id]; h != nil {
		h.known = false
		s.vanishAll(h)
	}
}

// sortAttempts gives attempts a fixed order, since they come out of a map.
func sortAttempts(list []*attempt) {
	slices.SortFunc(list, func(a, b *attempt) int {
		if c := strings.Compare(a.task.id.Submission, b.task.id.Submission); c != 0 {
			return c
		}
		if c := a.task.id.Step - b.task.id.Step; c != 0 {
			return c
		}
		if c := a.task.id.Index - b.task.id.Index; c != 0 {
			return c
		}
		return int(a.run - b.run)
	})
}
