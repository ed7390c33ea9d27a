package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// Guards against decisions that take ever longer with the suspects that wait for hosts,
// until an owner does nothing else, and against one behind the bound that is never tried.
func TestWorkForTrialsIsBounded(t *testing.T) {
	const hosts, waiting = 100, 3000
	c := newCluster(hosts, resource.Vector{MilliCPU: 4000, MemoryMiB: 16_000})
	c.teams = map[string]cell.Team{"a": {Name: "a"}}
	c.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second})
	step := cell.Step{Count: 1, Estimate: time.Second, Size: resource.Vector{MilliCPU: 5000, MemoryMiB: 1000}}
	for i := range waiting {
		c.submit(fmt.Sprintf("wide%d", i), "q", "a", step) // fits on no host
	}
	step.Size.MilliCPU = 1000
	c.submit("small", "q", "a", step)
	var suspects []*group
	for _, g := range c.s.groups {
		g.job.suspected = true
		suspects = append(suspects, g)
	}
	most := minHeadWork / restDivisor / hosts
	if got := len(c.s.trialTurn(suspects)); got > most {
		t.Errorf("hosts are chosen for %d groups in a decision, want %d at most", got, most)
	}
	for n := range 2*waiting/most + 2 {
		c.now += 10 * time.Millisecond
		if p := c.s.Decide(c.now, c.now); len(p.Starts) > 0 {
			return
		}
		if n == 0 && c.s.quarantinedAt != 0 {
			t.Error("the last suspect is chosen for at once; the test shows nothing about turns")
		}
	}
	t.Error("the suspect behind the bound is never tried")
}
