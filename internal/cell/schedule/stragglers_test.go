package schedule

import (
	"strings"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// advanceIdle advances by steps of 100 ms. The runs of submissions whose IDs begin with
// "idle" use no processor.
func (c *cluster) advanceIdle(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += 100 * time.Millisecond
		c.endDueRuns()
		for _, id := range c.ids() {
			h := c.hosts[id]
			l := h.report()
			for i := range l.Running {
				if strings.HasPrefix(l.Running[i].Task.Submission, "idle") {
					l.Running[i].UsageOrLatencyMs = 0
				}
			}
			c.s.ApplyReport(id, c.now, c.now, l)
			h.ended = nil
		}
		c.decide(nil)
	}
}

// Guards against a task that never ends, since it is stopped soon after each start: it uses
// no processor, or waits for something for long.
func TestTaskWithoutProcessorUseEnds(t *testing.T) {
	for name, milliCPU := range map[string]int64{"asks for none": 0, "waits for its input": 1000} {
		c := newCluster(1, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
		c.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second})
		c.submit("busy", "q", "a", smallStep(1, time.Hour)) // its usage is reported
		for _, gang := range []bool{false, true} {
			id := "idle"
			if gang {
				id = "idle-gang"
			}
			c.submit(id, "q", "a", cell.Step{Count: 2, Gang: gang, Size: resource.Vector{MilliCPU: milliCPU, MemoryMiB: 100}, Estimate: 6 * time.Second})
		}
		c.advanceIdle(40 * time.Second)
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
	c := newCluster(2, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
	c.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second})
	c.submit("busy", "q", "a", smallStep(1, time.Hour))
	c.submit("idle", "q", "a", smallStep(1, time.Hour))
	c.advanceIdle(100 * time.Millisecond)
	first := c.hostOf("idle")
	c.advanceIdle(noProgressTimeout + 500*time.Millisecond)
	if !c.s.hosts[first].health.avoided(c.now) {
		t.Error("a host on which a run stood still is not avoided")
	}
	if got := c.hostOf("idle"); got == first || got == "" {
		t.Errorf("the task runs on %q, after it had stood still on %s", got, first)
	}
}
