package schedule

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// resize changes the capacity of a host, as its entry in the host list shows it.
func (c *cluster) resize(id string, capacity resource.Vector) {
	c.hosts[id].spec.Capacity = capacity
	var list []cell.Host
	for _, id := range c.ids() {
		list = append(list, c.hosts[id].spec)
	}
	c.s.SetListedHosts(list)
}

// Guards against a host whose capacity has shrunk and that is still filled up to what
// it had, by single tasks or gangs, by the owner or its successor. The hosts hold every
// gang that is drawn once they have grown again.
func TestHostThatShrinksIsNotOverfilled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.IntRange(4, 6).Draw(t, "hosts"), resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
		c.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second})
		for i := range rapid.IntRange(5, 40).Draw(t, "events") {
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1, 2:
				c.submit(fmt.Sprintf("job%02d", i), "q", "a", drawStep(t, 0))
			case 3:
				cpu := int64(rapid.IntRange(1, 16).Draw(t, "cores")) * 1000
				c.resize(rapid.SampledFrom(c.ids()).Draw(t, "host"), resource.Vector{MilliCPU: cpu, MemoryMiB: 4 * cpu})
			case 4:
				c.replaceOwner()
				c.s.MarkReconciled(c.now)
			}
			c.advance(time.Duration(rapid.IntRange(5, 500).Draw(t, "ms")) * time.Millisecond)
		}
		for _, id := range c.ids() {
			c.resize(id, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
		}
		if !c.stepUntilFinished(2000, 100*time.Millisecond) {
			t.Error("submissions are open although every host has grown again")
		}
		if len(c.violations) > 0 {
			t.Errorf("%d rule violations, the first: %s", len(c.violations), c.violations[0])
		}
	})
}

// Guards against a host that is filled up to what an earlier instance had: it restarted as
// one of another kind, and its report came before its new entry in the host list.
func TestRestartedHostIsUsedOnceListedAnew(t *testing.T) {
	c := newCluster(1, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
	c.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second})
	c.hosts["h00"].spec.StartedMs = 1
	c.resize("h00", c.hosts["h00"].spec.Capacity)
	c.restart("h00")
	h := c.hosts["h00"]
	small := resource.Vector{MilliCPU: 4000, MemoryMiB: 65536}
	h.spec.Capacity = small
	c.submit("job", "q", "a", cell.Step{Count: 4, Size: resource.Vector{MilliCPU: 3000}, Estimate: time.Second})
	c.advance(100 * time.Millisecond)
	if got := c.running("job"); got > 0 {
		t.Errorf("%d tasks run on a host that is not listed yet", got)
	}
	h.spec.StartedMs = h.startedMs
	c.resize("h00", small)
	c.advance(100 * time.Millisecond)
	if got := c.running("job"); got != 1 {
		t.Errorf("%d tasks run on the host once it is listed, want 1", got)
	}
	for _, v := range c.violations {
		t.Error(v)
	}
}
