package schedule

import (
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/crash"
)

const (
	// testLease is how long a host runs on after its last answer.
	testLease = 4500 * time.Millisecond
	// testCut is how long a host is cut off.
	testCut = 5500 * time.Millisecond
)

// cutWithResets cuts a host off: its connections break and new ones are refused. It runs on
// until its lease has expired.
func (c *cluster) cutWithResets(id string) {
	c.hosts[id].unreachable = true
	c.s.MarkCrashed(id, c.now, c.now)
	c.s.MarkUnreachable(id)
}

// lapse ends the runs of a host that is cut off, since its lease has expired.
func (c *cluster) lapse(id string) {
	h := c.hosts[id]
	for _, r := range h.runs {
		h.endCount++
		h.ended = append(h.ended, cell.Ended{Number: h.endCount, Task: r.task, Run: r.run, Outcome: cell.OutcomeLeaseExpired})
	}
	h.runs = nil
	c.s.MarkAllRunsGone(id, c.now)
}

// lastingJob submits tasks that run until they are cancelled, or a gang that takes as long.
func (c *cluster) lastingJob(id string, count int, gang bool) {
	c.takes = func(cell.TaskID, time.Duration) time.Duration { return 1000 * time.Hour }
	step := smallStep(count, time.Second)
	step.LongRunning, step.Gang = !gang, gang
	c.submit(id, "q", "a", step)
}

// Guards against sound work that is given up for good, since its hosts were cut off with
// resets until their leases had expired: that was counted as crashes, though the hosts
// answer later as the same instances.
func TestCutsWithResetsFailNoSubmission(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		for _, between := range []time.Duration{0, 300 * time.Millisecond, 25 * time.Second} {
			c := crashCluster(8)
			c.lastingJob("lasting", 12, false)
			c.advanceFor(between)
			for n := range 5 {
				c.advance(10 * time.Millisecond)
				id := c.hostOf("lasting")
				c.cutWithResets(id)
				c.advanceFor(testLease)
				c.lapse(id)
				if takeover {
					c.replaceOwner()
				}
				c.advanceFor(testCut - testLease)
				c.hosts[id].unreachable = false
				c.advance(100 * time.Millisecond)
				if takeover {
					c.s.MarkReconciled(c.now)
				}
				c.advanceFor(max(between, time.Second))
				j := c.s.jobs["lasting"]
				if j == nil || j.state.Final() {
					t.Fatalf("takeover %t, %s apart: the submission is %s after %d cuts", takeover, between, c.state["lasting"], n+1)
				}
				if j.suspected || c.s.underTrial(j) {
					t.Errorf("takeover %t, %s apart: the submission is suspected although no host has crashed", takeover, between)
				}
				if got := c.running("lasting"); got != 12 {
					t.Errorf("takeover %t, %s apart: %d of 12 tasks run after cut %d", takeover, between, got, n+1)
				}
			}
		}
	}
}

// Guards against a task that crashes host after host without being given up, since these
// are back only after their leases have expired, or never.
func TestTaskThatCrashesHostsForLongIsGivenUp(t *testing.T) {
	for name, away := range map[string]time.Duration{"back late": 8 * time.Second, "gone for good": 0} {
		c := crashCluster(12)
		c.submit("deadly", "q", "a", smallStep(1, time.Second))
		c.deadly = func(cell.TaskID) bool { return false }
		starts := 0
		crashedAt := make(map[string]time.Duration)
		for range 600 {
			c.advance(100 * time.Millisecond)
			for _, id := range c.ids() {
				h := c.hosts[id]
				at, crashed := crashedAt[id]
				switch {
				case len(h.runs) > 0: // it crashes at the start of the task
					starts++
					h.runs = nil
					crashedAt[id] = c.now
					c.cutWithResets(id)
				case !crashed:
				case c.now >= at+testLease && c.s.hosts[id] != nil && c.s.hosts[id].crashed:
					c.s.MarkAllRunsGone(id, c.now)
				case away > 0 && c.now >= at+away:
					delete(crashedAt, id)
					c.restart(id)
				case away == 0 && c.now >= at+7*time.Second && c.s.hosts[id] != nil:
					delete(c.hosts, id)
					c.relist()
					c.s.RemoveHost(id)
				}
			}
		}
		if c.state["deadly"] != cell.Failed {
			t.Errorf("%s: the submission is %s after 60 s and %d starts", name, c.state["deadly"], starts)
		}
		if starts > crash.MaxCrashes {
			t.Errorf("%s: the task was started %d times, each time its host crashed, want %d at most", name, starts, crash.MaxCrashes)
		}
		if c.state["deadly"] == cell.Failed {
			for id, tasks := range c.s.unconfirmed {
				for _, task := range tasks {
					if len(task.evidence.Unconfirmed) > crash.MaxUnconfirmed {
						t.Errorf("%s: %d unconfirmed crashes on %s", name, len(task.evidence.Unconfirmed), id)
					}
				}
			}
		}
	}
}

// Guards against a crash that counts for nothing, since the host is back only after its
// leases have expired, and against one that counts before that is known.
func TestCrashCountsOnceTheHostHasRestarted(t *testing.T) {
	for name, c := range map[string]struct {
		settle func(c *cluster, id string)
		want   int
	}{
		"it answers as the same instance": {func(c *cluster, id string) { c.hosts[id].unreachable = false }, 0},
		"it answers as another instance":  {func(c *cluster, id string) { c.restart(id) }, 1},
		"another host answers there":      {func(c *cluster, id string) { c.s.MarkRestarted(id, c.now, c.now) }, 1},
		"it stays away":                   {func(*cluster, string) {}, 0},
		"it is removed": {func(c *cluster, id string) {
			delete(c.hosts, id)
			c.relist()
			c.s.RemoveHost(id)
		}, 1},
	} {
		for _, takeover := range []bool{false, true} {
			cl := crashCluster(6)
			cl.lastingJob("job", 1, false)
			cl.advance(10 * time.Millisecond)
			id := cl.hostOf("job")
			cl.cutWithResets(id)
			cl.lapse(id)
			if got := cl.s.jobs["job"].groups[0].tasks[0]; len(got.evidence.Confirmed) > 0 || !cl.s.jobs["job"].suspected {
				t.Errorf("%s: %d crashes count before the host has answered, suspected %t", name, len(got.evidence.Confirmed), cl.s.jobs["job"].suspected)
			}
			if takeover {
				cl.replaceOwner()
			}
			c.settle(cl, id)
			if cl.hosts[id] != nil {
				cl.hosts[id].ended = nil
			}
			cl.pollHosts()
			if got := cl.s.jobs["job"].groups[0].tasks[0].evidence.Confirmed; len(got) != c.want {
				t.Errorf("%s, takeover %t: %+v is counted, want %d", name, takeover, got, c.want)
			}
		}
	}
}
