package schedule

import (
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
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
		if r := c.s.risk(j); r.crashes > 0 {
			t.Errorf("gang %t: %.2f crashes are counted for the queue", gang, r.crashes)
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
