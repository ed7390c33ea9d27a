package schedule

import (
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
