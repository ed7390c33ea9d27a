package scheduler

import "github.com/medlarpulley/medlarpulley/internal/work"

// throttlePercent is the threshold of measured processor use of a host from
// which a stopping task is throttled, so that the other tasks of the host are
// not slowed down while it saves its state.
const throttlePercent = 90

// stop requests the end of an attempt. It is asked to checkpoint first,
// throttled on a busy host after half of the grace period, and killed at its
// end. A kill is repeated until the end is reported, since requests may be
// lost.
func (s *Scheduler) stop(a *attempt, mode StopMode, reason string) {
	if a.ending() && (mode != StopKill || a.killed) {
		return
	}
	if !a.ending() {
		a.stopReason = reason
	}
	s.setState(a, TaskStopping)
	s.sendStop(a, mode)
}

func (s *Scheduler) sendStop(a *attempt, mode StopMode) {
	a.stopRequests++
	wait := killInterval
	switch mode {
	case StopKill:
		a.killed = true
	default:
		wait = s.options.StopGracePeriod / 2
	}
	s.emit(StopTask{Attempt: a.id, Host: a.host.view.ID, Mode: mode, Reason: a.stopReason})
	s.timers.add(timer{at: s.now + wait, kind: timerEscalate, attempt: a})
}

// escalate sends the next stop request to an attempt that has not ended.
func (s *Scheduler) escalate(a *attempt) {
	h := a.host
	if h.gone || h.find(a.id) != a {
		return
	}
	switch {
	case a.killed, a.stopRequests >= 2, s.skipsGracePeriod(a):
		s.sendStop(a, StopKill)
	case h.measuredUsage.MilliCPU*100 >= h.view.Capacity.MilliCPU*throttlePercent:
		s.sendStop(a, StopThrottle)
	default:
		// The host is not busy: wait for the rest of the grace period.
		a.stopRequests++
		s.timers.add(timer{at: s.now + s.options.StopGracePeriod/2, kind: timerEscalate, attempt: a})
	}
}

// skipsGracePeriod reports whether the attempt is killed without the rest of
// its grace period.
func (s *Scheduler) skipsGracePeriod(a *attempt) bool {
	return a.job != nil && a.job.closed && a.job.closeOutcome == work.Cancelled
}
