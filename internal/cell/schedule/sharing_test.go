package schedule

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

var _ = ginkgo.Describe("tasks that fill", func() {
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

	// Guards against tasks that get no processor time because they were placed, as
	// other tasks are, on the fullest host.
	ginkgo.It("go where processor time is left", func() {
		c.submit("busy", "q", "a", cell.Step{Count: 7, Size: size(4), Estimate: time.Minute})
		c.step(100 * time.Millisecond)
		c.submit("fills", "q", "a", cell.Step{Count: 2, Size: size(4), Estimate: time.Minute, Fills: true})
		c.step(100 * time.Millisecond)
		for name := range hostsOf("fills") {
			gomega.Expect(hostsOf("busy")[name]).To(gomega.BeNumerically("<", 4))
		}
		gomega.Expect(c.faults).To(gomega.BeEmpty())
	})

	// Guards against a task that serves and stays over its target because of tasks
	// that fill beside it.
	ginkgo.It("leave a host where a task that serves is over its target", func() {
		c.submit("serves", "q", "a", cell.Step{Count: 3, Size: size(2), Estimate: time.Hour, Lasting: true, LatencyTarget: 20 * time.Millisecond, MaxPerHost: 1})
		c.step(100 * time.Millisecond)
		c.submit("fills", "q", "a", cell.Step{Count: 1, Size: size(4), Estimate: time.Minute, Fills: true, Checkpoints: true})
		c.step(100 * time.Millisecond)
		var host string
		for name := range hostsOf("fills") {
			host = name
		}
		gomega.Expect(host).NotTo(gomega.BeEmpty())
		// The fake hosts report a use of 1, which is below the target.
		c.step(3 * time.Second)
		gomega.Expect(hostsOf("fills")).To(gomega.HaveKey(host))
		for range 20 {
			l := c.hosts[host].listing()
			for i := range l.Running {
				l.Running[i].Usage = 50
			}
			c.now += 200 * time.Millisecond
			c.s.Listed(host, c.now, c.now, l)
			c.decide(nil)
		}
		c.step(100 * time.Millisecond)
		c.step(100 * time.Millisecond)
		gomega.Expect(hostsOf("fills")).NotTo(gomega.HaveKey(host))
		gomega.Expect(hostsOf("fills")).To(gomega.HaveLen(1))
	})
})
