package schedule

import (
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

var rescanAdvice = &cell.AdvicePolicy{Decision: 440 * time.Millisecond, PerHost: 6 * time.Millisecond, Validity: 2500 * time.Millisecond}

// advanceWith moves the time forward by d and carries out one decision, with slow advice.
func (c *cluster) advanceWith(a *slowAdvice, d time.Duration) *Plan {
	c.now += d
	c.restartCrashed()
	c.endDueRuns()
	c.pollHosts()
	p := c.s.Decide(c.now, c.now)
	c.recordStates()
	for _, o := range p.Starts {
		c.start(o)
		c.s.Started(o.Host, o.Task, o.Run, c.now)
	}
	a.step(c, p)
	return p
}

// Guards against a gang whose hosts for a trial are counted with the largest host, where
// it may not run: the hosts that were kept free never held it.
func TestHostsOfATrialAreCountedByWhatTheyHold(t *testing.T) {
	c := newCluster(12, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
	large := c.hosts["h00"].spec
	large.Capacity = resource.Vector{MilliCPU: 64000, MemoryMiB: 262144}
	c.hosts["h00"].spec = large
	c.s.SetHosts([]cell.Host{large})
	c.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second, Advice: rescanAdvice})
	c.approves = func(_ cell.GroupID, host string) bool { return host != "h00" }
	c.submit("gang", "q", "a", cell.Step{Count: 4, Size: resource.Vector{MilliCPU: 9000, MemoryMiB: 1024}, Estimate: time.Second, Gang: true})
	c.s.jobs["gang"].suspected = true
	var advisor slowAdvice
	for range 300 {
		if c.advanceWith(&advisor, 10*time.Millisecond); c.running("gang") > 0 {
			return
		}
	}
	t.Errorf("the gang has not been started in 3 s on 12 idle hosts; it %s", c.s.jobs["gang"].groups[0].waitReason)
}
