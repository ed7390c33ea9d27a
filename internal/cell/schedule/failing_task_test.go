package schedule

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// failingCluster has hosts of 16 cores. Runs fail if the function says so.
func failingCluster(hosts int, fails func(c *cluster, id cell.TaskID, run int64) bool) *cluster {
	c := newCluster(hosts, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
	c.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second})
	c.fails = func(id cell.TaskID, run int64) bool { return fails(c, id, run) }
	return c
}

// Guards against a submission whose tasks fail wherever they run and keep all hosts out of
// use, so that gangs of others never start.
func TestTasksThatAlwaysFailKeepNoHostOutOfUse(t *testing.T) {
	for _, count := range []int{1, 4, 12} {
		c := failingCluster(8, func(_ *cluster, id cell.TaskID, _ int64) bool { return id.Submission == "failing" })
		c.takes = func(id cell.TaskID, estimate time.Duration) time.Duration {
			if id.Submission == "failing" {
				return 50 * time.Millisecond
			}
			return estimate
		}
		failing := smallStep(count, time.Second)
		failing.LongRunning = true
		c.submit("failing", "q", "b", failing)
		c.advanceFor(4 * time.Second)
		gang := cell.Step{Count: 6, Size: resource.Vector{MilliCPU: 8000, MemoryMiB: 100}, Estimate: time.Second, Gang: true}
		for i := range 4 {
			id := fmt.Sprint("gang", i)
			c.submit(id, "q", "a", gang)
			if !c.advanceUntil(30, id) {
				t.Errorf("%d tasks that fail: %s is %s after 3 s; it %s", count, id, c.state[id], c.s.jobs[id].groups[0].waitReason)
			}
		}
	}
}

// Guards against hosts that fail all that they start and are not avoided, since the same
// submissions, or few of them, run there.
func TestHostThatFailsEverythingIsAvoided(t *testing.T) {
	for _, tasks := range []int{1, 500} {
		startsThere := 0
		c := failingCluster(6, func(c *cluster, id cell.TaskID, run int64) bool {
			for _, r := range c.hosts["h00"].runs {
				if r.task == id && r.run == run {
					startsThere++
					return true
				}
			}
			return false
		})
		c.takes = func(id cell.TaskID, estimate time.Duration) time.Duration { return estimate }
		n := 0
		for range 100 { // 10 s
			if tasks > 1 && n == 0 || tasks == 1 {
				c.submit(fmt.Sprint("job", n), "q", "a", smallStep(tasks, 300*time.Millisecond))
				n++
			}
			c.advance(100 * time.Millisecond)
		}
		if startsThere == 0 || startsThere > 40 {
			t.Errorf("%d tasks each: %d runs failed on a host that fails all of them, want 1 to 40 in 10 s", tasks, startsThere)
		}
		for id, state := range c.state {
			if strings.HasPrefix(id, "job") && state == cell.Failed {
				t.Errorf("%s failed", id)
			}
		}
	}
}
