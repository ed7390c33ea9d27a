package schedule

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

var _ = ginkgo.Describe("best-effort tasks", func() {
	var c *cluster
	ginkgo.BeforeEach(func() {
		c = newCluster(3, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
		c.queue(cell.Queue{Name: "q", Priority: 1, Stretch: 2, Latency: time.Second})
	})
	size := func(cores int64) resource.Vector { return resource.Vector{MilliCPU: cores * 1000, MemoryMiB: 1024} }
	hostsOf := func(id string) map[string]int {
		out := map[string]int{}
		for name, h := range c.hosts {
			for _, r := range h.runs {
				if r.task.Submission == id {
					out[name]++
				}
			}
		}
		return out
	}

	// Guards against best-effort tasks that get no CPU time because they were
	// placed, like other tasks, on the fullest host.
	ginkgo.It("are placed where CPU time is unused", func() {
		c.submit("busy", "q", "a", cell.Step{Count: 7, Size: size(4), Estimate: time.Minute})
		c.advance(100 * time.Millisecond)
		c.submit("fills", "q", "a", cell.Step{Count: 2, Size: size(4), Estimate: time.Minute, BestEffort: true})
		c.advance(100 * time.Millisecond)
		for name := range hostsOf("fills") {
			gomega.Expect(hostsOf("busy")[name]).To(gomega.BeNumerically("<", 4))
		}
		gomega.Expect(c.violations).To(gomega.BeEmpty())
	})

	// Guards against a latency-sensitive task that keeps exceeding its target
	// because of best-effort tasks on the same host.
	ginkgo.It("leave a host where a latency-sensitive task exceeds its target", func() {
		c.submit("serves", "q", "a", cell.Step{Count: 3, Size: size(2), Estimate: time.Hour, LongRunning: true, LatencyTarget: 20 * time.Millisecond, MaxPerHost: 1})
		c.advance(100 * time.Millisecond)
		c.submit("fills", "q", "a", cell.Step{Count: 1, Size: size(4), Estimate: time.Minute, BestEffort: true, Checkpoints: true})
		c.advance(100 * time.Millisecond)
		var host string
		for name := range hostsOf("fills") {
			host = name
		}
		gomega.Expect(host).NotTo(gomega.BeEmpty())
		// The fake hosts report a usage of 1 ms, which is below the target.
		c.advance(3 * time.Second)
		gomega.Expect(hostsOf("fills")).To(gomega.HaveKey(host))
		for range 20 {
			l := c.hosts[host].report()
			for i := range l.Running {
				l.Running[i].UsageOrLatencyMs = 50
			}
			c.now += 200 * time.Millisecond
			c.s.ApplyReport(host, c.now, c.now, l)
			c.decide(nil)
		}
		c.advance(100 * time.Millisecond)
		c.advance(100 * time.Millisecond)
		gomega.Expect(hostsOf("fills")).NotTo(gomega.HaveKey(host))
		gomega.Expect(hostsOf("fills")).To(gomega.HaveLen(1))
	})
})
