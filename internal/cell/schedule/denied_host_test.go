package schedule

import (
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// Guards against a gang that asks for tickets on denied hosts again and again and never
// starts, since only few hosts have room and none of them is approved.
func TestGangAsksForNoTicketsOnDeniedHosts(t *testing.T) {
	c := newCluster(9, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
	advice := &cell.AdvicePolicy{Decision: 10 * time.Millisecond, PerHost: time.Millisecond, Validity: 2 * time.Second}
	c.queue(cell.Queue{Name: "plain", Stretch: 2, Latency: time.Second})
	c.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second, Advice: advice})
	approved := map[string]bool{"h00": true, "h01": true, "h02": true, "h03": true, "h04": true}
	c.approves = func(g cell.GroupID, host string) bool { return g.Submission != "gang" || approved[host] }
	full := cell.Step{Count: 7, Size: resource.Vector{MilliCPU: 15000, MemoryMiB: 1024}, Estimate: 20 * time.Second}
	c.submit("full", "plain", "a", full) // fills h00 to h06
	c.advance(10 * time.Millisecond)
	c.submit("gang", "q", "a", cell.Step{Count: 2, Size: resource.Vector{MilliCPU: 4000, MemoryMiB: 1024}, Estimate: time.Second, Gang: true})
	for range 10 { // all hosts are asked about
		c.advance(10 * time.Millisecond)
	}
	for range 20 {
		c.now += 100 * time.Millisecond
		c.pollHosts()
		p := c.s.Decide(c.now, c.now)
		for _, a := range p.AdviceRequests {
			for _, h := range a.Hosts {
				if !approved[h] {
					t.Fatalf("advice is asked about the denied host %s again", h)
				}
			}
		}
		c.answerAdviceRequests(p)
	}
}
