package schedule

import (
	"strings"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// idleCluster has hosts on which the runs of submissions whose IDs begin with "idle" use no
// processor, and one other run whose usage is reported.
func idleCluster(hosts int) *cluster {
	c := newCluster(hosts, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
	c.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second})
	c.idle = func(t cell.TaskID) bool { return strings.HasPrefix(t.Submission, "idle") }
	c.submit("busy", "q", "a", smallStep(1, time.Hour))
	return c
}

// Guards against a task that never ends, since it is stopped soon after each start: it uses
// no processor, or waits for something for long.
func TestTaskWithoutProcessorUseEnds(t *testing.T) {
	for name, milliCPU := range map[string]int64{"asks for none": 0, "waits for its input": 1000} {
		c := idleCluster(1)
		for _, gang := range []bool{false, true} {
			id := "idle"
			if gang {
				id = "idle-gang"
			}
			c.submit(id, "q", "a", cell.Step{Count: 2, Gang: gang, Size: resource.Vector{MilliCPU: milliCPU, MemoryMiB: 100}, Estimate: 6 * time.Second})
		}
		c.advanceFor(40 * time.Second)
		for _, id := range []string{"idle", "idle-gang"} {
			if got := c.state[id]; got != cell.Completed {
				t.Errorf("a task of 6 s that %s: %s is %s after 40 s", name, id, got)
			}
		}
		checkViolations(t, c)
	}
}

// Guards against a host on which runs stand still and that gets others at once.
func TestHostWithHungRunsIsAvoided(t *testing.T) {
	c := idleCluster(2)
	c.submit("idle", "q", "a", smallStep(1, time.Hour))
	c.advanceFor(100 * time.Millisecond)
	first := c.hostOf("idle")
	c.advanceFor(noProgressTimeout + 500*time.Millisecond)
	if !c.s.hosts[first].health.avoided(c.now) {
		t.Error("a host on which a run stood still is not avoided")
	}
	if got := c.hostOf("idle"); got == first || got == "" {
		t.Errorf("the task runs on %q, after it had stood still on %s", got, first)
	}
}
