package schedule

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

const (
	// maxGivenUpRuns bounds the runs that are remembered as given up.
	maxGivenUpRuns = 512
	// maxDoneRuns bounds the tasks whose run that ended as done is remembered: at the highest
	// rate of a cell those of the time for which leases last.
	maxDoneRuns = 8192
)

// GoneReason is why a run was taken as gone although its host has not reported its end.
type GoneReason uint8

// The reasons why a run was taken as gone.
const (
	// NotGone means that the run was not taken as gone, or that nothing is known of it.
	NotGone GoneReason = iota
	// GoneLeaseExpired means that every lease on the host had certainly expired.
	GoneLeaseExpired
	// GoneHostRestarted means that the first report of a later lifetime did not list the run.
	GoneHostRestarted
	// GoneOtherInstance means that another instance had answered in place of the host.
	GoneOtherInstance
	// GoneNotReported means that a complete report of the host did not list the run.
	GoneNotReported
	// GoneStopAccepted means the same after the host had accepted the order to stop the run.
	GoneStopAccepted
	// GoneRefused means that the start order was certainly not carried out.
	GoneRefused
	// GoneHostClosed means that the former owner had closed the host, or had not stored it, so
	// that only the runs in its record could be there.
	GoneHostClosed
)

var goneReasonNames = [...]string{"", "lease_expired", "host_restarted", "another_instance", "not_in_report", "stop_accepted", "refused", "closed_by_former_owner"}

// String returns the name of the reason for logs, empty for NotGone.
func (r GoneReason) String() string { return goneReasonNames[r] }

// gone is when and why runs were taken as gone.
type gone struct {
	reason GoneReason
	at     time.Duration
}

// hostRun identifies a run on a host.
type hostRun struct {
	runKey
	host string
}

// doneRun is a run that ended as done.
type doneRun struct {
	run  int64
	host string
}

// runHistory remembers runs that are not present any more, to recognize tasks that have run
// twice. No decision depends on it. It leaves out steps that allow copies.
type runHistory struct {
	givenUp recent[hostRun, gone]
	done    recent[cell.TaskID, doneRun]
	// reported holds the kind of the last message about a run: a host lists a run of a
	// submission that has been removed again and again.
	reported recent[hostRun, Repetition]
}

func newRunHistory() runHistory {
	return runHistory{
		givenUp: newRecent[hostRun, gone](maxGivenUpRuns), done: newRecent[cell.TaskID, doneRun](maxDoneRuns), reported: newRecent[hostRun, Repetition](maxGivenUpRuns),
	}
}

// giveUp removes a run that was taken as gone.
func (s *Scheduler) giveUp(a *taskRun, reason GoneReason) {
	if !a.task.group.step.AllowCopies {
		s.history.givenUp.set(hostRun{runKey{a.task.id, a.run}, a.host.spec.ID}, gone{reason, s.now})
	}
	s.detach(a)
}

// recordDone remembers a run that ended as done; that of one member completes the whole gang.
func (s *Scheduler) recordDone(t *task, run int64, host string) {
	switch {
	case t.group.step.AllowCopies:
	case t.group.step.Gang:
		for _, m := range t.group.tasks {
			s.history.done.set(m.id, doneRun{run, host})
		}
	default:
		s.history.done.set(t.id, doneRun{run, host})
	}
}

// settleEarlierRuns records that no runs of earlier owners are present on the host but those
// that are recorded.
func (h *host) settleEarlierRuns(reason GoneReason, now time.Duration) {
	if h.earlierRunsUnknown {
		h.earlierRunsUnknown, h.earlierRunsGone = false, gone{reason, now}
	}
}
