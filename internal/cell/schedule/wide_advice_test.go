package schedule

import (
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// Guards against work that never starts since it asks for tickets on more hosts than one
// call may name.
func TestNoAdviceCallNamesTooManyHosts(t *testing.T) {
	for _, gang := range []bool{true, false} {
		c := newCluster(160, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
		c.queue(cell.Queue{Name: "plain", Stretch: 2, Latency: time.Second})
		c.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second, Advice: &cell.AdvicePolicy{Decision: 50 * time.Millisecond, Validity: time.Second}})
		c.submit("before", "plain", "a", cell.Step{Count: 160, Size: resource.Vector{MilliCPU: 9000}, Estimate: 3 * time.Second, MaxPerHost: 1})
		c.advance(10 * time.Millisecond)
		c.submit("first", "q", "b", cell.Step{Count: 1, Size: resource.Vector{MilliCPU: 1000}, Estimate: time.Second},
			cell.Step{Count: 120, Size: resource.Vector{MilliCPU: 16000}, Estimate: time.Second, Gang: gang, After: []int{0}})
		for range 200 {
			c.now += 50 * time.Millisecond
			c.endDueRuns()
			c.pollHosts()
			p := c.s.Decide(c.now, c.now)
			for _, o := range p.Starts {
				c.start(o)
				c.s.Started(o.Host, o.Task, o.Run, c.now)
			}
			for _, a := range p.AdviceRequests {
				if len(a.Hosts) > maxAdviceHosts {
					t.Fatalf("gang %t: a call names %d hosts, %d at most may be named", gang, len(a.Hosts), maxAdviceHosts)
				}
			}
			c.answerAdviceRequests(p)
			c.recordStates()
		}
		if c.state["first"] != cell.Completed {
			t.Errorf("gang %t: the submission is %s after 10 s: %v", gang, c.state["first"], c.s.Explain("first"))
		}
	}
}
