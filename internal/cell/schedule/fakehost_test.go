package schedule

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

// fakeRun is a run on a fake host.
type fakeRun struct {
	task    cell.TaskID
	run     int64
	endsAt  time.Duration
	stopped bool
}

// fakeHost is a host of a cluster.
type fakeHost struct {
	id          string
	spec        cell.Host
	runs        []*fakeRun
	ended       []cell.Ended
	endCount    int64
	startedMs   int64
	unreachable bool
	// downUntil is when a crashed host is back; zero unless it has crashed.
	downUntil time.Duration
}

// endDueRuns ends runs that have run for their time. The runs of a gang end only
// when all its members have.
func (c *cluster) endDueRuns() {
	for _, id := range c.ids() {
		h := c.hosts[id]
		var left []*fakeRun
		for _, r := range h.runs {
			if r.endsAt > c.now || !r.stopped && !c.gangComplete(r) {
				left = append(left, r)
				continue
			}
			c.endRun(h, r)
		}
		h.runs = left
	}
}

// gangComplete reports whether every member of a run's gang has run for its time,
// or one has ended as done. It is true for a run outside a gang.
func (c *cluster) gangComplete(r *fakeRun) bool {
	step := c.jobs[r.task.Submission].Steps[r.task.Step]
	if !step.Gang {
		return true
	}
	n := 0
	for _, h := range c.hosts {
		for _, o := range h.runs {
			if o.task.Group() == r.task.Group() && o.run == r.run {
				n++
				if o.endsAt > c.now {
					return false
				}
			}
		}
	}
	for i := range step.Count { // the end of one member ends the others
		if c.done[cell.TaskID{Submission: r.task.Submission, Step: r.task.Step, Index: i}] {
			r.stopped = false
			return true
		}
	}
	return n == step.Count
}

func (c *cluster) endRun(h *fakeHost, r *fakeRun) {
	outcome := cell.OutcomeDone
	switch {
	case r.stopped:
		outcome = cell.OutcomeStopped
	case c.fails(r.task, r.run):
		outcome = cell.OutcomeFailed
	default:
		c.done[r.task] = true
		if step := c.jobs[r.task.Submission].Steps[r.task.Step]; step.Gang {
			for i := range step.Count { // one member that ends as done completes the gang
				c.done[cell.TaskID{Submission: r.task.Submission, Step: r.task.Step, Index: i}] = true
			}
		}
	}
	h.endCount++
	h.ended = append(h.ended, cell.Ended{Number: h.endCount, Task: r.task, Run: r.run, Outcome: outcome})
}

// pollHosts passes the report of every reachable host to the scheduler. Ended
// runs are then acknowledged and removed.
func (c *cluster) pollHosts() {
	for _, id := range c.ids() {
		h := c.hosts[id]
		if h.unreachable {
			continue
		}
		for _, e := range h.ended {
			c.reportedDone[e.Task] = c.reportedDone[e.Task] || e.Outcome == cell.OutcomeDone
			if e.Outcome == cell.OutcomeFailed {
				c.failed[e.Task]++
			}
		}
		l := h.report()
		for i := range l.Running {
			if c.idle(l.Running[i].Task) {
				l.Running[i].UsageOrLatencyMs = 0
			}
		}
		c.s.ApplyReport(id, c.now, c.now, l)
		h.ended = nil
	}
	c.recordStates()
}

func (h *fakeHost) report() cell.HostReport {
	l := cell.HostReport{StartedMs: h.startedMs, Ended: h.ended}
	for _, r := range h.runs {
		l.Running = append(l.Running, cell.Running{Task: r.task, Run: r.run, UsageOrLatencyMs: 1, Percent: 100})
	}
	return l
}

// restart restarts a host: it loses its runs and its record of ended runs.
func (c *cluster) restart(id string) {
	h := c.hosts[id]
	h.runs, h.ended, h.endCount, h.unreachable = nil, nil, 0, false
	h.startedMs++
}
