package schedule

import (
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/crash"
)

// Guards against sound work that is suspected, and a queue that is confined, since hosts
// crashed that had been cut off before: what ran there when they crashed is unknown.
func TestCrashBehindACutSuspectsNobody(t *testing.T) {
	for _, gang := range []bool{false, true} {
		c := crashCluster(6)
		step := smallStep(40, 10*time.Second)
		step.Gang = gang
		c.submit("sound", "q", "a", step)
		c.hosts["h00"].unreachable = true // its orders get no answer
		c.advance(10 * time.Millisecond)
		for _, id := range []string{"h00", "h01"} {
			c.crashSilently(id)
		}
		for range 40 {
			c.advance(100 * time.Millisecond)
		}
		j := c.s.jobs["sound"]
		if j.suspected || c.s.underTrial(j) {
			t.Errorf("gang %t: the submission is suspected", gang)
		}
		if r := c.s.risk(j); r.Crashes > 0 {
			t.Errorf("gang %t: %.2f crashes are counted for the queue", gang, r.Crashes)
		}
		if got := c.running("sound"); got != step.Count {
			t.Errorf("gang %t: %d tasks run after the hosts are back, want %d", gang, got, step.Count)
		}
	}
}

// Guards against a task that crashes host after host without being given up, since all
// of them had been cut off right after its start.
func TestTaskThatCrashesSilentHostsIsGivenUp(t *testing.T) {
	c := crashCluster(8)
	c.deadly = func(cell.TaskID) bool { return false }
	c.submit("deadly", "q", "a", smallStep(1, time.Second))
	for range 400 {
		c.advance(100 * time.Millisecond)
		for _, id := range c.ids() {
			for _, r := range c.hosts[id].runs {
				c.crashes[r.task]++
				c.crashSilently(id)
			}
		}
	}
	if got := c.state["deadly"]; got != cell.Failed {
		t.Errorf("the submission is %s after 40 s", got)
	}
	checkCrashes(t, c)
}

// Guards against a task of a long life that fails since, over all of its life, hosts that
// had been cut off crashed right after one of its starts.
func TestSilentCrashesDoNotAddUpOverTheLifeOfATask(t *testing.T) {
	for _, gang := range []bool{false, true} {
		c := crashCluster(6)
		c.lastingJob("lasting", 1, gang)
		for range 2 * crash.MaxCrashes {
			c.decide(nil)
			c.crashSilently(c.hostOf("lasting"))
			for range 300 {
				c.advance(100 * time.Millisecond)
			}
			if got := c.state["lasting"]; got != cell.Active {
				t.Fatalf("gang %t: the submission is %s after runs of 25 s each", gang, got)
			}
			c.expireLeases(c.hostOf("lasting"))
		}
	}
}

// Guards against tasks of a long life that fail since, over all of their life, hosts crashed
// under them by themselves.
func TestCrashesDoNotAddUpOverTheLifeOfATask(t *testing.T) {
	for _, gang := range []bool{false, true} {
		c := crashCluster(8)
		const tasks = 12
		c.lastingJob("lasting", tasks, gang)
		for n := range 2 * crash.MaxCrashes {
			c.advanceFor(25 * time.Second)
			if got := c.running("lasting"); got != tasks {
				t.Fatalf("gang %t: %d of %d tasks run 25 s after crash %d", gang, got, tasks, n)
			}
			c.crash(c.s.jobs["lasting"].groups[0].tasks[7].runs[0].host.spec.ID)
		}
		c.advanceFor(25 * time.Second)
		if got := c.state["lasting"]; got != cell.Active {
			t.Errorf("gang %t: the submission is %s", gang, got)
		}
	}
}

// hostOf returns a host on which a submission runs.
func (c *cluster) hostOf(submission string) string {
	for _, id := range c.ids() {
		for _, r := range c.hosts[id].runs {
			if r.task.Submission == submission {
				return id
			}
		}
	}
	return ""
}

// expireLeases cuts a host off until its leases have expired.
func (c *cluster) expireLeases(id string) {
	c.hosts[id].runs = nil
	c.s.MarkUnreachable(id)
	c.s.MarkAllRunsGone(id, c.now)
}
