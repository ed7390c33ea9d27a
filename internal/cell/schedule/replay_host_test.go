package schedule

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

// replayRun is a run on a host of a replay.
type replayRun struct {
	task    cell.TaskID
	run     int64
	milli   int64
	began   time.Duration
	endsAt  time.Duration
	stopped bool
}

// replayHost is a host of a replay.
type replayHost struct {
	spec   cell.Host
	runs   []replayRun
	used   int64
	number int64
}

// endRuns removes the runs that have ended, and returns them.
func (h *replayHost) endRuns(now time.Duration) (ended []replayRun) {
	left := h.runs[:0]
	for _, r := range h.runs {
		if r.endsAt > now {
			left = append(left, r)
			continue
		}
		ended = append(ended, r)
		h.used -= r.milli
	}
	h.runs = left
	return ended
}

// report returns the report of the host after some runs have ended.
func (h *replayHost) report(ended []replayRun) cell.HostReport {
	out := cell.HostReport{StartedMs: 1}
	for _, r := range ended {
		h.number++
		e := cell.Ended{Number: h.number, Task: r.task, Run: r.run, Outcome: cell.OutcomeDone}
		if r.stopped {
			e.Outcome = cell.OutcomeStopped
		}
		out.Ended = append(out.Ended, e)
	}
	for _, r := range h.runs {
		out.Running = append(out.Running, cell.Running{Task: r.task, Run: r.run})
	}
	return out
}
