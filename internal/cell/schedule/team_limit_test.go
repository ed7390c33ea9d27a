package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// Guards against a part of a team's limit that stays unused for ever after a burst of its
// urgent work.
func TestLimitIsFreeAgainAfterUrgentWork(t *testing.T) {
	c := newCluster(6, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
	c.teams["a"] = cell.Team{Name: "a", Weight: 1000, Limit: resource.Vector{MilliCPU: 40000}}
	c.queue(cell.Queue{Name: "urgent", Priority: 0, Stretch: 2, Latency: time.Second})
	c.queue(cell.Queue{Name: "q", Priority: 1, Stretch: 2, Latency: time.Second})
	core := resource.Vector{MilliCPU: 1000, MemoryMiB: 64}
	c.submit("urgent", "urgent", "a", cell.Step{Count: 10, Size: core, Estimate: time.Second})
	c.advance(10 * time.Millisecond)
	c.advance(2 * time.Second)
	c.submit("other", "q", "a", cell.Step{Count: 1, Size: core, Estimate: time.Hour})
	c.advance(10 * time.Millisecond)
	c.submit("work", "q", "a", cell.Step{Count: 60, Size: core, Estimate: time.Hour})
	for range 30 {
		c.advance(500 * time.Millisecond)
	}
	if got := c.running("work"); got != 39 {
		t.Errorf("%d tasks of one core run under a limit of 40 cores, beside one other, 15 s after the urgent work", got)
	}
}

// Guards against a gang that never starts, since smaller work of its team that comes later
// takes whatever becomes free under the limit of the team.
func TestGangGetsItsTeamsLimit(t *testing.T) {
	for _, advice := range []*cell.AdvicePolicy{nil, {Decision: 100 * time.Millisecond, PerHost: time.Millisecond, Validity: 600 * time.Millisecond}} {
		c := newCluster(9, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
		c.teams["a"] = cell.Team{Name: "a", Weight: 1000, Limit: resource.Vector{MilliCPU: 40000}}
		c.queue(cell.Queue{Name: "first", Priority: 0, Stretch: 200, Latency: time.Hour, Advice: advice})
		c.queue(cell.Queue{Name: "small", Priority: 2, Stretch: 2, Latency: time.Second})
		stream := func(i int) {
			for k := range 4 {
				c.submit(fmt.Sprintf("small%d-%d", i, k), "small", "a", smallStep(4, time.Second))
			}
			c.advance(100 * time.Millisecond)
		}
		for i := range 20 {
			stream(i)
		}
		c.submit("never", "first", "a", cell.Step{Count: 41, Size: resource.Vector{MilliCPU: 1000}, Estimate: time.Second, Gang: true})
		c.submit("gang", "first", "a", cell.Step{Count: 10, Size: resource.Vector{MilliCPU: 3000}, Estimate: time.Second, Gang: true})
		at := c.now
		for i := 20; i < 120 && c.running("gang") == 0; i++ {
			stream(i)
		}
		if took := c.now - at; took > 2*time.Second {
			t.Errorf("advice %+v: after %s, %d members run; it %s", advice, took, c.running("gang"), c.s.jobs["gang"].groups[0].waitReason)
		}
		for _, v := range c.violations {
			t.Error(v)
		}
	}
}

// Guards against a suspected gang that never starts, since smaller work of its team takes
// whatever becomes free under the limit of the team, of which less than half is in use.
func TestSuspectedGangGetsItsTeamsLimit(t *testing.T) {
	for _, advice := range []*cell.AdvicePolicy{nil, {Decision: 100 * time.Millisecond, PerHost: time.Millisecond, Validity: 600 * time.Millisecond}} {
		c := newCluster(16, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
		c.teams["a"] = cell.Team{Name: "a", Weight: 1000, Limit: resource.Vector{MilliCPU: 40000}}
		c.queue(cell.Queue{Name: "q", Priority: 1, Stretch: 2, Latency: time.Second, Advice: advice})
		c.queue(cell.Queue{Name: "small", Priority: 2, Stretch: 2, Latency: time.Second})
		stream := func(i int) {
			c.submit(fmt.Sprintf("small%d", i), "small", "a", smallStep(1, time.Second)) // 14 of 40 cores in all
			c.advance(100 * time.Millisecond)
		}
		for i := range 20 {
			stream(i)
		}
		c.submit("gang", "q", "a", cell.Step{Count: 10, Size: resource.Vector{MilliCPU: 3000}, Estimate: time.Second, Gang: true})
		c.s.jobs["gang"].suspected = true
		at := c.now
		for i := 20; i < 120 && c.running("gang") == 0; i++ {
			stream(i)
		}
		if took := c.now - at; took > 3*time.Second {
			t.Errorf("advice %+v: after %s, %d members run; it %s", advice, took, c.running("gang"), c.s.jobs["gang"].groups[0].waitReason)
		}
		for _, v := range c.violations {
			t.Error(v)
		}
	}
}
