package schedule

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

// handleRestart handles the runs of a host whose report is the first one of another
// lifetime. sent is when the report was requested.
func (s *Scheduler) handleRestart(h *host, sent time.Duration, l cell.HostReport) {
	if !h.crashed && !h.spec.Leaving {
		s.suspectRuns(h, h.reportedAt)
	}
	reported := reportedRuns(l)
	var gone, unsettled []*taskRun
	for _, a := range h.sortedRuns() {
		switch {
		case reported[runKey{a.task.id, a.run}], a.phase == phaseStarting, a.mayHaveBegunSince(sent, l):
			a.endSuspicion()
		case a.acceptedAt == 0:
			unsettled = append(unsettled, a)
		default:
			gone = append(gone, a)
		}
	}
	s.countCrashes(h, append(gone, unsettled...), true)
	s.handleLostRuns(gone, GoneHostRestarted)
	for _, a := range unsettled {
		s.settleOrder(a)
	}
}

// reportedRuns returns the runs that a report lists as present or ended.
func reportedRuns(l cell.HostReport) map[runKey]bool {
	out := make(map[runKey]bool, len(l.Running)+len(l.Ended))
	for _, r := range l.Running {
		out[runKey{r.Task, r.Run}] = true
	}
	for _, e := range l.Ended {
		out[runKey{e.Task, e.Run}] = true
	}
	return out
}

// mayHaveBegunSince reports whether a run that a report does not list may have begun in the
// lifetime that sent it: the host accepted it after the report was requested, or since the
// last report of the former lifetime and the report is not complete.
func (a *taskRun) mayHaveBegunSince(requested time.Duration, l cell.HostReport) bool {
	return a.acceptedAt != 0 && (a.acceptedAt >= requested || l.Partial && a.acceptedAt >= a.host.reportedAt)
}

// settleOrder orders a run to stop whose start order got no answer, since it may still reach
// the present lifetime of its host. A stop that an earlier one accepted says nothing of it.
func (s *Scheduler) settleOrder(a *taskRun) {
	a.endSuspicion()
	s.orderStop(a, "the start order may still reach the restarted host")
}

// StopLateRun orders a run to stop that has been given up, and whose start order may still
// reach the present lifetime of its host.
func (s *Scheduler) StopLateRun(host string, task cell.TaskID, run int64) {
	if s.hosts[host] != nil && s.findRun(host, task, run) == nil {
		s.plan.Stops = append(s.plan.Stops, Stop{Task: task, Run: run, Host: host, Reason: "the start order of a run that was given up may still reach the restarted host"})
	}
}
