package schedule

import (
	"fmt"
	"hash/fnv"
	"slices"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// Guards against steps that ask together, all name the same nearly full hosts, and wait longer
// than 3 s in a mostly idle cell (rule 3).
func TestStepsThatAskTogetherStartInAMostlyIdleCell(t *testing.T) {
	clusterFeatures = Features{GangCapacity: true}
	defer func() { clusterFeatures = Features{} }()
	const steps = 100
	c := newCluster(350, resource.Vector{MilliCPU: 64_000, MemoryMiB: 256 * 1024})
	c.adviceTakesTime = true
	c.approves = func(g cell.GroupID, host string) bool {
		h := fnv.New32a()
		_, _ = h.Write([]byte(g.Submission + host + g.Submission))
		return h.Sum32()%1000 < 450
	}
	c.teams["a"], c.teams["b"] = cell.Team{Name: "a", Weight: 1000}, cell.Team{Name: "b", Weight: 1000}
	c.queue(cell.Queue{Name: "small", Priority: 2, Stretch: 3, Latency: 3 * time.Second})
	c.queue(cell.Queue{Name: "advised", Priority: 2, Stretch: 3, Latency: 3 * time.Second, Advice: &cell.AdvicePolicy{
		Decision: 559 * time.Millisecond, PerHost: 8 * time.Millisecond, Validity: 2 * time.Second,
	}})
	c.submit("before", "small", "a", cell.Step{Count: 150, Size: resource.Vector{MilliCPU: 51_000, MemoryMiB: 1024}, Estimate: time.Minute})
	c.advance(10 * time.Millisecond)
	c.submit("gang", "small", "a", cell.Step{Count: 2, Gang: true, Size: resource.Vector{MilliCPU: 18_000, MemoryMiB: 1024}, Estimate: time.Second})
	c.advanceFor(2 * periodicCheckInterval)
	var waiting []string
	for i := range steps {
		waiting = append(waiting, fmt.Sprintf("s%03d", i))
		c.submit(waiting[i], "advised", "b", cell.Step{Count: 2, Size: resource.Vector{MilliCPU: 12_000, MemoryMiB: 1024}, Estimate: time.Minute})
	}
	for begin := c.now; c.now < begin+3*time.Second; {
		c.advance(10 * time.Millisecond)
		waiting = slices.DeleteFunc(waiting, func(id string) bool { return c.running(id) > 0 })
	}
	if len(waiting) > 0 {
		t.Errorf("%d of %d steps have not started after 3 s", len(waiting), steps)
	}
	checkViolations(t, c)
}
