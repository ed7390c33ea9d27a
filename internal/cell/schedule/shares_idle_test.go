package schedule

import (
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// Guards against excess work that is held back for ever for work that cannot start.
func TestExcessWorkIsHeldBackForABoundedTime(t *testing.T) {
	c := newCluster(4, resource.Vector{MilliCPU: 16_000, MemoryMiB: 65_536})
	c.s.options.Features = Features{FairShares: true}
	c.queue(cell.Queue{Name: "q", Priority: 1, Stretch: 20, Latency: time.Hour})
	c.submit("filler", "q", "a", coreStep(48, time.Hour))
	c.advance(50 * time.Millisecond)
	c.submit("wide", "q", "b", cell.Step{Count: 400, MaxPerHost: 1, Size: resource.Vector{MilliCPU: 1000, MemoryMiB: 64}, Estimate: time.Hour})
	for range 80 {
		c.advance(100 * time.Millisecond)
	}
	c.submit("small", "q", "a", coreStep(1, time.Second))
	for range 130 {
		c.advance(100 * time.Millisecond)
	}
	if c.state["small"] != cell.Completed {
		t.Errorf("a task of one core is %s after 13 s beside idle cores: %v", c.state["small"], c.s.Explain("small"))
	}
}

// Guards against excess work that is held back, and stays without runs, in a service most of
// which is idle, for work of another team that cannot start there.
func TestIdleServiceHoldsNothingBack(t *testing.T) {
	c := newCluster(4, resource.Vector{MilliCPU: 16_000, MemoryMiB: 65_536})
	c.s.options.Features = Features{FairShares: true, Admission: true}
	other := cell.Host{ID: "x", Service: "other", Capacity: resource.Vector{MilliCPU: 256_000, MemoryMiB: 1 << 20}}
	c.hosts["x"] = &fakeHost{id: "x", spec: other, startedMs: 1}
	c.queue(cell.Queue{Name: "q", Priority: 1, Stretch: 20, Latency: time.Hour})
	c.queues["full"] = cell.Queue{Name: "full", Service: "other", Priority: 1, Stretch: 2, Latency: time.Hour}
	c.publish()
	c.relist()
	c.pollHosts()
	// Team a fills the other service, so that it is above its share of the cell.
	c.submit("filler", "full", "a", coreStep(256, time.Hour))
	c.submit("more", "full", "a", coreStep(500, time.Hour))
	c.advance(50 * time.Millisecond)
	// The tasks of team b do not fit beside each other and wait, with most of the service idle.
	c.submit("wide", "q", "b", cell.Step{Count: 400, MaxPerHost: 1, Size: resource.Vector{MilliCPU: 2000, MemoryMiB: 64}, Estimate: time.Hour})
	for range 60 {
		c.advance(100 * time.Millisecond)
	}
	c.submit("small", "q", "a", coreStep(1, time.Second))
	for range 20 {
		c.advance(100 * time.Millisecond)
	}
	if c.state["small"] != cell.Completed {
		t.Errorf("a task of one core is %s after 2 s in a service with 56 idle cores: %v", c.state["small"], c.s.Explain("small"))
	}
}
