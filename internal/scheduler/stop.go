package scheduler

import "github.com/medlarpulley/medlarpulley/internal/work"

// throttlePercent is the measured use of a host's processors from which on
// throttling a victim helps the others while it saves its state.
const throttlePercent = 90

// stop asks for the end of an attempt: by checkpoint first, then throttled on
// a busy host, then killed after the grace. A kill is repeated until the end is
// reported, since requests may be lost.
func (s *Scheduler) stop(a *attempt, mode StopMode, reason string) {
	if a.ending() && (mode != StopKill || a.killed) {
		return
	}
	if !a.ending() {
		a.reason = reason
	}
	s.setState(a, TaskStopping)
	s.sendStop(a, mode)
}

func (s *Scheduler) sendStop(a *attempt, mode StopMode) {
	a.stops++
	wait := killEvery
	switch mode {
	case StopKill:
		a.killed = true
	default:
		wait = s.options.StopGrace / 2
	}
	s.emit(StopTask{Attempt: a.id, Host: a.host.view.ID, Mode: mode, Reason: a.reason})
	s.timers.add(timer{at: s.now + wait, kind: timerStop, attempt: a})
}

// escalate sends the next stop request to an attempt that has not ended.
func (s *Scheduler) escalate(a *attempt) {
	h := a.host
	if h.gone || h.find(a.id) != a {
		return
	}
	switch {
	case a.killed, a.stops >= 2, s.killsNow(a):
		s.sendStop(a, StopKill)
	case h.usage.MilliCPU*100 >= h.view.Capacity.MilliCPU*throttlePercent:
		s.sendStop(a, StopThrottle)
	default:
		// The host is not busy: wait for the rest of the grace.
		a.stops++
		s.timers.add(timer{at: s.now + s.options.StopGrace/2, kind: timerStop, attempt: a})
	}
}

// killsNow reports whether the attempt has no right to the rest of its grace.
func (s *Scheduler) killsNow(a *attempt) bool {
	return a.job != nil && a.job.closed && a.job.endOf == work.Cancelled
}
