package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// Guards against a gang that waits for tasks that run until they are cancelled to end,
// while smaller work takes the capacity that does become free.
func TestGangReservesNoCapacityOfLongRunningTasks(t *testing.T) {
	c := newCluster(4, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
	c.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second})
	c.queue(cell.Queue{Name: "urgent", Priority: 0, Stretch: 2, Latency: time.Second})
	c.queue(cell.Queue{Name: "later", Priority: 1, Stretch: 20, Latency: time.Hour})
	c.submit("serving", "q", "a", cell.Step{Count: 2, MaxPerHost: 1, LongRunning: true, Size: resource.Vector{MilliCPU: 12000, MemoryMiB: 1024}, Estimate: time.Second})
	for i := range 2 { // they end one after the other
		c.submit(fmt.Sprintf("batch%d", i), "q", "a", cell.Step{Count: 1, Size: resource.Vector{MilliCPU: 14000, MemoryMiB: 1024}, Estimate: time.Duration(1+i) * time.Second})
	}
	c.advance(100 * time.Millisecond)
	for _, h := range c.hosts {
		for _, r := range h.runs {
			if r.task.Submission == "serving" {
				r.endsAt = c.now + time.Hour
			}
		}
	}
	c.submit("gang", "urgent", "a", cell.Step{Count: 2, Size: resource.Vector{MilliCPU: 15000, MemoryMiB: 1024}, Estimate: time.Second, Gang: true})
	for i := range 100 {
		c.submit(fmt.Sprintf("small%03d", i), "later", "b", cell.Step{Count: 3, Size: resource.Vector{MilliCPU: 2000, MemoryMiB: 1024}, Estimate: 3 * time.Second})
		if c.advance(100 * time.Millisecond); c.running("gang") > 0 {
			return
		}
	}
	t.Errorf("the gang has not started after 10 s: %v", c.s.Explain("gang"))
}
