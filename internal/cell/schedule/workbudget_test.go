package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// Guards against decisions that take ever longer with the backlog, until an owner does
// nothing else, and against work behind the bound that never starts although it fits.
func TestWorkOfDecisionIsBounded(t *testing.T) {
	const hosts, waiting = 100, 3000
	c := newCluster(hosts, resource.Vector{MilliCPU: 4000, MemoryMiB: 16_000})
	c.teams = map[string]cell.Team{"a": {Name: "a"}}
	c.queue(cell.Queue{Name: "first", Stretch: 2, Latency: time.Second})
	c.queue(cell.Queue{Name: "last", Stretch: 2, Latency: time.Minute})
	step := cell.Step{Count: 1, Estimate: time.Second, Size: resource.Vector{MilliCPU: 5000, MemoryMiB: 1000}}
	for i := range waiting {
		c.submit(fmt.Sprintf("first%d", i), "first", "a", step) // fits on no host
	}
	step.Size.MilliCPU = 1000
	c.submit("last", "last", "a", step)
	startsIn := 0
	for n := 1; startsIn == 0 && n <= 50; n++ {
		c.now += 10 * time.Millisecond
		p := c.s.Decide(c.now, c.now)
		if most := minHeadWork*(restDivisor+1)/restDivisor + 2*(workPerGroup+2*hosts); c.s.work.used > most {
			t.Fatalf("decision %d examined %d hosts, want at most %d", n, c.s.work.used, most)
		}
		if len(p.Starts) > 0 {
			startsIn = n
		}
	}
	if most := waiting*(workPerGroup+hosts)/(minHeadWork/restDivisor) + 2; startsIn == 0 || startsIn > most {
		t.Errorf("the work behind the bound started in decision %d, want in one of the first %d", startsIn, most)
	}
}

// Guards against work at the head of the queue that waits behind the turn of others.
func TestHeadOfQueueIsPlacedInEachDecision(t *testing.T) {
	c := newCluster(100, resource.Vector{MilliCPU: 4000, MemoryMiB: 16_000})
	c.teams = map[string]cell.Team{"a": {Name: "a"}}
	c.queue(cell.Queue{Name: "urgent", Priority: 0, Stretch: 2, Latency: time.Second})
	c.queue(cell.Queue{Name: "other", Priority: 1, Stretch: 2, Latency: time.Second})
	step := cell.Step{Count: 1, Estimate: time.Second, Size: resource.Vector{MilliCPU: 5000, MemoryMiB: 1000}}
	for i := range 3000 {
		c.submit(fmt.Sprintf("other%d", i), "other", "a", step) // fits on no host
	}
	step.Size.MilliCPU = 1000
	for i := range 20 {
		c.submit(fmt.Sprintf("urgent%d", i), "urgent", "a", step)
		c.now += 10 * time.Millisecond
		if p := c.s.Decide(c.now, c.now); len(p.Starts) != 1 {
			t.Fatalf("%d starts after an urgent submission, want 1", len(p.Starts))
		}
	}
}
