package schedule

import (
	"slices"
	"strings"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

const (
	// noRoomBackoff is the wait after a host had no free capacity for a run
	// that should fit.
	noRoomBackoff = 300 * time.Millisecond
	// unhealthyBackoff is the wait after a host was unhealthy, had restarted or could
	// not be connected to.
	unhealthyBackoff = 1500 * time.Millisecond
	// invalidOrderBackoff is the wait after a host refused an order as malformed.
	invalidOrderBackoff = 5 * time.Second
)

// Refusal is the reason why a start certainly did not happen.
type Refusal uint8

// The reasons for a refusal that affect decisions.
const (
	// RefusedOther means that the run can no longer start on the host, that its
	// lease had expired, or that the owner did not send the order because it may not
	// act or has removed the host. It says nothing about the host.
	RefusedOther Refusal = iota
	RefusedNoCapacity
	RefusedInvalidTicket
	RefusedUnhealthy
	RefusedInvalid
)

func (s *Scheduler) findRun(id string, task cell.TaskID, run int64) *taskRun {
	if h := s.hosts[id]; h != nil {
		return h.runs[runKey{task, run}]
	}
	return nil
}

// Started records that a host accepted a start.
func (s *Scheduler) Started(host string, task cell.TaskID, run int64, now time.Duration) {
	s.now = now
	a := s.findRun(host, task, run)
	if a == nil {
		return
	}
	if a.phase == phaseStarting || a.phase == phaseUnanswered {
		a.phase = phaseRunning
	}
	a.acceptedAt, a.lastProgressAt = now, now
	s.markActive(a.task.group.job)
}

// markActive records that a task of a job has started.
func (s *Scheduler) markActive(j *job) {
	if j.state == cell.Queued {
		j.state = cell.Active
		s.changed[j.sub.ID] = true
	}
}

// Refused records that a start certainly did not happen.
func (s *Scheduler) Refused(host string, task cell.TaskID, run int64, why Refusal, now time.Duration) {
	s.now = now
	a := s.findRun(host, task, run)
	if a == nil {
		return
	}
	h, g := a.host, a.task.group
	switch why {
	case RefusedNoCapacity:
		h.health.avoid(now, noRoomBackoff)
	case RefusedInvalidTicket:
		if g.approved(h) && g.policy() != nil {
			g.advice.tickets[h] = ticket{} // it has expired, but the host stays approved
		}
	case RefusedUnhealthy:
		h.health.avoid(now, unhealthyBackoff)
	case RefusedInvalid:
		h.health.avoid(now, invalidOrderBackoff)
	}
	s.giveUp(a, GoneRefused)
}

// Unanswered records that a start got no answer and may have happened.
func (s *Scheduler) Unanswered(host string, task cell.TaskID, run int64, now time.Duration) {
	s.now = now
	if a := s.findRun(host, task, run); a != nil && a.phase == phaseStarting {
		a.phase, a.unansweredAt = phaseUnanswered, now
	}
}

// StopAccepted records that a host accepted the order to stop a run, which was sent at a
// time. If that was before the first report of the host's lifetime, an earlier one may have
// accepted it, and it is ordered again. It reports whether the run may never have begun: then
// no end of it makes the host report soon that it is gone.
func (s *Scheduler) StopAccepted(host string, task cell.TaskID, run int64, sent, now time.Duration) (mayNotHaveBegun bool) {
	s.now = now
	a := s.findRun(host, task, run)
	if a == nil || a.phase != phaseStopping {
		return false
	}
	if sent < a.host.life.reportedSince && a.acceptedAt == 0 {
		s.settleOrder(a)
		return false
	}
	a.stopAcceptedAt = now
	return a.acceptedAt == 0
}

// StopFailed orders a stop again after the host refused it or did not answer. It reports
// whether the run is known.
func (s *Scheduler) StopFailed(host string, task cell.TaskID, run int64, now time.Duration) bool {
	s.now = now
	a := s.findRun(host, task, run)
	if a != nil && a.phase == phaseStopping && a.stopAcceptedAt == 0 {
		s.orderStop(a, a.stopReason)
	}
	return a != nil
}

// MarkUnreachable records that a host does not answer. The host gets no new work.
func (s *Scheduler) MarkUnreachable(id string) {
	if h := s.hosts[id]; h != nil {
		h.reachable = false
	}
}

// MarkAllRunsGone records that a host has no runs any more, since every lease on it has
// certainly expired. Whether it has crashed is not known.
func (s *Scheduler) MarkAllRunsGone(id string, now time.Duration) {
	s.now = now
	if h := s.hosts[id]; h != nil {
		s.handleAllRunsGone(h, false)
	}
}

// MarkRestarted records that another instance answers in place of a host, so that the host
// has crashed, not before a time, and has no runs any more. It reports whether the host had
// not been known to have crashed.
func (s *Scheduler) MarkRestarted(id string, notBefore, now time.Duration) bool {
	crashed := s.MarkCrashed(id, notBefore, now)
	h := s.hosts[id]
	if h == nil {
		return false
	}
	s.handleAllRunsGone(h, true)
	s.confirmCrashes(h)
	return crashed
}

// sortRuns sorts runs that come from a map, so that their order is
// deterministic.
func sortRuns(list []*taskRun) {
	slices.SortFunc(list, func(a, b *taskRun) int {
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
