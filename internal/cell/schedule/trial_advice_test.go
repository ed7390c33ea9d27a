package schedule

import (
	"slices"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// slowAdvice answers the advice requests of a cluster after their duration.
type slowAdvice struct {
	calls    []AdviceRequest
	answered int
	at       []time.Duration
}

// step adds the requests of a plan and answers those that are due.
func (a *slowAdvice) step(c *cluster, p *Plan) {
	for _, r := range p.AdviceRequests {
		a.calls = append(a.calls, r)
		a.at = append(a.at, c.now+r.Duration)
	}
	for a.answered < len(a.calls) && c.now >= a.at[a.answered] {
		c.answerAdviceRequests(&Plan{AdviceRequests: a.calls[a.answered : a.answered+1]})
		a.answered++
	}
}

// Guards against a suspect that asks for advice about one or two hosts a call, and keeps
// them free of other work meanwhile, though most of them are denied.
func TestSuspectAsksAboutAllHostsBeforeOnesAreKeptFree(t *testing.T) {
	c := newCluster(24, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
	advice := &cell.AdvicePolicy{Decision: 440 * time.Millisecond, PerHost: 6 * time.Millisecond, Validity: 2500 * time.Millisecond}
	c.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second, Advice: advice})
	c.approves = func(_ cell.GroupID, host string) bool { return host[len(host)-1]%3 == 0 } // a third of the hosts
	c.submit("gang", "q", "a", cell.Step{Count: 3, Size: resource.Vector{MilliCPU: 9000, MemoryMiB: 1024}, Estimate: time.Second, Gang: true})
	c.s.jobs["gang"].suspected = true
	var advisor slowAdvice
	for range 100 { // 5 s
		c.now += 50 * time.Millisecond
		c.endDueRuns()
		c.pollHosts()
		p := c.s.Decide(c.now, c.now)
		if len(p.Starts) == 3 {
			break
		}
		advisor.step(c, p)
		for _, h := range c.s.sortedHosts {
			if h.quarantinedFor != nil && !c.approves(cell.GroupID{}, h.spec.ID) {
				t.Fatalf("%s is kept free of other work for a step that may not run there", h.spec.ID)
			}
		}
	}
	var named []int
	for _, r := range advisor.calls {
		named = append(named, len(r.Hosts))
	}
	if !slices.Equal(named, []int{24}) && !slices.Equal(named, []int{24, 3}) {
		t.Errorf("the calls for advice name %v hosts, want one about all 24, and one for new tickets at most", named)
	}
	if c.now > time.Hour+1500*time.Millisecond {
		t.Errorf("the gang takes %s to start on idle hosts", c.now-time.Hour)
	}
}
