package schedule

import (
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// orderedCluster has a job with one task whose start has been ordered.
func orderedCluster(t *testing.T) (c *cluster, o Start) {
	c = newCluster(3, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
	c.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second})
	c.submit("job", "q", "a", smallStep(1, 2*time.Second))
	p := c.s.Decide(c.now, c.now)
	if len(p.Starts) != 1 {
		t.Fatalf("%d starts, want 1", len(p.Starts))
	}
	return c, p.Starts[0]
}

// Guards against a task that runs twice: its start order got no answer, its host restarted
// under its ID, the run counted as gone, and the new lifetime carried the order out late.
func TestUnansweredOrderIsSettledInTheNewLifetime(t *testing.T) {
	for _, restarts := range []int{1, 2} {
		c, o := orderedCluster(t)
		c.s.Unanswered(o.Host, o.Task, o.Run, c.now)
		for range restarts {
			c.restart(o.Host)
			c.now += 10 * time.Millisecond
			c.pollHosts()
			plan := c.s.Decide(c.now, c.now)
			if len(plan.Starts) > 0 || len(plan.Stops) == 0 {
				t.Fatalf("restart: %d starts and %d stops, want a stop", len(plan.Starts), len(plan.Stops))
			}
			c.s.StopAccepted(o.Host, o.Task, o.Run, c.now-5*time.Millisecond, c.now) // by the former lifetime
		}
		c.start(o) // the order arrives
		c.now += 10 * time.Millisecond
		c.decide(nil)
		if !c.stepUntilFinished(50, 100*time.Millisecond) {
			t.Error("the submission is open after 5 s")
		}
		for _, v := range c.violations {
			t.Errorf("%d restarts: %s", restarts, v)
		}
	}
}

// Guards against a stop that counts for the present lifetime of a host although the former
// one had accepted it.
func TestStopOfAFormerLifetimeSettlesNothing(t *testing.T) {
	c, o := orderedCluster(t)
	c.s.Unanswered(o.Host, o.Task, o.Run, c.now)
	c.now += 10 * time.Millisecond
	c.pollHosts()
	if p := c.s.Decide(c.now, c.now); len(p.Stops) != 1 {
		t.Fatalf("%d stops, want 1", len(p.Stops))
	}
	sent := c.now
	c.restart(o.Host)
	for range 3 {
		c.now += 10 * time.Millisecond
		c.pollHosts()
	}
	c.s.StopAccepted(o.Host, o.Task, o.Run, sent, c.now)
	c.now += 10 * time.Millisecond
	c.pollHosts()
	if p := c.s.Decide(c.now, c.now); len(p.Starts) > 0 || len(p.Stops) == 0 {
		t.Errorf("%d starts and %d stops, want a stop", len(p.Starts), len(p.Stops))
	}
}

// Guards against runs that count as lost, and as crashed, since the restart of their host
// became known after it had accepted them.
func TestRunsOfTheNewLifetimeAreNotLost(t *testing.T) {
	for name, report := range map[string]func(c *cluster, o Start) (sent time.Duration, l cell.HostReport){
		"it lists the run": func(c *cluster, o Start) (time.Duration, cell.HostReport) {
			return c.now, c.hosts[o.Host].report()
		},
		"it accepted the run after it had made the report": func(c *cluster, o Start) (time.Duration, cell.HostReport) {
			return c.now - 20*time.Millisecond, cell.HostReport{StartedMs: c.hosts[o.Host].startedMs}
		},
		"its report is not complete": func(c *cluster, o Start) (time.Duration, cell.HostReport) {
			return c.now, cell.HostReport{StartedMs: c.hosts[o.Host].startedMs, Partial: true}
		},
	} {
		t.Run(name, func(t *testing.T) {
			c, o := orderedCluster(t)
			c.restart(o.Host)
			c.start(o)
			c.s.Started(o.Host, o.Task, o.Run, c.now)
			c.now += 10 * time.Millisecond
			sent, l := report(c, o)
			c.s.ApplyReport(o.Host, sent, c.now, l)
			c.decide(nil)
			task := c.s.jobs["job"].groups[0].tasks[0]
			if len(task.runs) != 1 || task.runs[0].adopted || len(task.evidence.Confirmed) > 0 {
				t.Errorf("%d runs are known, %+v is counted", len(task.runs), task.evidence.Confirmed)
			}
			if !c.stepUntilFinished(50, 100*time.Millisecond) {
				t.Error("the submission is open after 5 s")
			}
			for _, v := range c.violations {
				t.Error(v)
			}
		})
	}
}

// Guards against a run that was given up and runs beside its successor: its start order
// reached a later lifetime of its host.
func TestLateRunIsStopped(t *testing.T) {
	c, o := orderedCluster(t)
	c.s.StopLateRun(o.Host, o.Task, o.Run)
	if p := c.s.Decide(c.now, c.now); len(p.Stops) != 0 {
		t.Error("a run that has not been given up is stopped")
	}
	c.s.Unanswered(o.Host, o.Task, o.Run, c.now)
	c.s.MarkAllRunsGone(o.Host, c.now)
	c.s.StopLateRun(o.Host, o.Task, o.Run)
	if p := c.s.Decide(c.now, c.now); len(p.Stops) != 1 || p.Stops[0].Host != o.Host || p.Stops[0].Run != o.Run {
		t.Errorf("stops %+v, want one of the run", p.Stops)
	}
}
