package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/crash"
	"github.com/medlarpulley/medlarpulley/internal/cell/trial"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// Guards against bystanders that are lost with suspect after suspect, each tried beside
// them though most of those before have crashed their hosts.
func TestNoTrialBesideOtherRunsWhileTrialsCrash(t *testing.T) {
	c := newCluster(16, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
	c.deadly = isDeadly
	quick := &cell.AdvicePolicy{Decision: 10 * time.Millisecond, Validity: 2 * time.Second}
	c.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second, Advice: quick})
	c.approves = func(g cell.GroupID, host string) bool { // each step may run on a quarter of the hosts
		return g.Submission == "busy" || (int(host[2])+int(g.Submission[len(g.Submission)-1]))%4 == 0
	}
	c.queue(cell.Queue{Name: "busy", Stretch: 2, Latency: time.Second})
	c.submit("busy", "busy", "a", cell.Step{Count: 16, MaxPerHost: 1, Size: resource.Vector{MilliCPU: 9000, MemoryMiB: 1024}, Estimate: time.Hour})
	c.advance(time.Second)
	for i := range 20 {
		id := fmt.Sprintf("deadly%02d", i)
		c.submit(id, "q", "b", smallStep(1, time.Second))
		j := c.s.jobs[id]
		j.suspected, j.groups[0].tasks[0].evidence.Confirmed = true, []cell.Crash{{Recent: true, Suspects: 1, Seen: true}}
	}
	var lastCrash time.Duration
	wasDown := make(map[string]bool)
	for range 2000 {
		c.advance(50 * time.Millisecond)
		for _, id := range c.ids() {
			// A crash counts for half after 3.5 s.
			h := c.s.hosts[id]
			if h.trial != nil && len(h.runs) > 1 && lastCrash != 0 && h.trial.orderedAt > lastCrash && h.trial.orderedAt < lastCrash+3400*time.Millisecond {
				t.Fatalf("%s is tried beside another run %s after the host of a trial crashed", h.trial.task.id, h.trial.orderedAt-lastCrash)
			}
		}
		for _, id := range c.ids() {
			down := c.hosts[id].downUntil != 0
			if down && !wasDown[id] {
				lastCrash = c.now
			}
			wasDown[id] = down
		}
	}
	for i := range 20 {
		if id := fmt.Sprintf("deadly%02d", i); c.state[id] != cell.Failed {
			t.Errorf("%s is %s after 100 s", id, c.state[id])
		}
	}
}

// Guards against calls for advice about the same few hosts by all suspects, of which one
// can use them: they delay the calls of all other work.
func TestSuspectsDoNotAllAskAboutTheSameHost(t *testing.T) {
	c := newCluster(16, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
	c.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second, Advice: rescanAdvice})
	c.queue(cell.Queue{Name: "busy", Stretch: 2, Latency: time.Second})
	c.submit("busy", "busy", "a", cell.Step{Count: 15, MaxPerHost: 1, Size: resource.Vector{MilliCPU: 15000, MemoryMiB: 1024}, Estimate: time.Minute})
	c.advance(time.Second)
	for i := range 100 {
		id := fmt.Sprintf("suspect%03d", i)
		c.submit(id, "q", "b", smallStep(1, time.Second))
		c.s.jobs[id].suspected = true
	}
	c.now += 100 * time.Millisecond
	c.pollHosts()
	if p := c.s.Decide(c.now, c.now); len(p.AdviceRequests) == 0 || len(p.AdviceRequests) > trial.CallsPerHost {
		t.Errorf("%d calls for advice are sent though one host is free, want 1 to %d", len(p.AdviceRequests), trial.CallsPerHost)
	}
}

// Guards against calls for advice by all submissions of a queue that has crashed hosts,
// though few of them may start their first task.
func TestSubmissionsThatAwaitTheirFirstTaskDoNotAllAskForAdvice(t *testing.T) {
	c := newCluster(16, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
	c.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second, Advice: rescanAdvice})
	r := &crash.Risk{Starts: 100, Crashes: 10, At: c.now}
	c.s.risks["q"] = r
	for i := range 400 {
		c.submit(fmt.Sprintf("job%03d", i), "q", "b", smallStep(1, time.Second))
	}
	p := c.s.Decide(c.now, c.now)
	// As many may start as are expected to crash the hosts that are spare.
	if n := len(p.AdviceRequests); n == 0 || float64(n)*r.Share() > float64(c.s.maxRiskyHosts(r)) {
		t.Errorf("%d calls for advice are sent, and %d hosts may crash at a share of %.2f", n, c.s.maxRiskyHosts(r), r.Share())
	}
}

// Guards against suspects that wait one behind the other in a cell that is hardly used,
// since some small run is present on each host.
func TestMoreSuspectsAreTriedWhenMostCapacityIsUnused(t *testing.T) {
	c := newCluster(24, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
	c.deadly = isDeadly
	c.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second})
	c.queue(cell.Queue{Name: "small", Stretch: 2, Latency: time.Second})
	const suspects = 16
	for i := range 230 { // 23 s
		if i%10 == 0 {
			c.submit(fmt.Sprintf("small%03d", i), "small", "a", cell.Step{Count: 24, MaxPerHost: 1, Size: resource.Vector{MilliCPU: 1000, MemoryMiB: 1024}, Estimate: 2500 * time.Millisecond})
		}
		if i == 50 {
			for n := range suspects {
				id := fmt.Sprintf("deadly%02d", n)
				c.submit(id, "q", "b", smallStep(1, time.Second))
				j := c.s.jobs[id]
				j.suspected, j.groups[0].tasks[0].evidence.Confirmed = true, []cell.Crash{{Recent: true, Suspects: 1, Seen: true}}
			}
			c.s.risks["q"] = &crash.Risk{TrialCrashes: 10, At: c.now}
		}
		c.advance(100 * time.Millisecond)
	}
	open := 0
	for i := range suspects {
		if !c.state[fmt.Sprintf("deadly%02d", i)].Final() {
			open++
		}
	}
	if open > 0 {
		t.Errorf("%d of %d suspects are open after 18 s on 24 hosts that are used by a fifth", open, suspects)
	}
	checkViolations(t, c)
}
