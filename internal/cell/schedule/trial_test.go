package schedule

import (
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/crash"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// Guards against a scheduler that remembers every queue that there ever was.
func TestRisksOfOldQueuesAreForgotten(t *testing.T) {
	c := newCluster(2, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
	for i := range 20 {
		name := string(rune('a' + i))
		c.queue(cell.Queue{Name: name, Stretch: 2, Latency: time.Second})
		c.submit("job-"+name, name, "a", smallStep(1, time.Second))
		c.advance(30 * time.Second)
	}
	if got, want := len(c.s.risks), int(crash.ForgetRiskAfter/(30*time.Second))+1; got > want {
		t.Errorf("%d queues are remembered, want %d at most", got, want)
	}
}

// Guards against a suspected gang that never starts, since its hosts are given back
// while advice about them is awaited.
func TestSuspectedGangIsTriedThoughAdviceIsSlow(t *testing.T) {
	c := newCluster(24, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
	advice := &cell.AdvicePolicy{Decision: 630 * time.Millisecond, PerHost: time.Millisecond, Validity: 2 * time.Second}
	c.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second, Advice: advice})
	c.approves = func(_ cell.GroupID, host string) bool { return host[len(host)-1]%3 == 0 } // a third of the hosts
	c.submit("gang", "q", "a", cell.Step{Count: 5, Size: resource.Vector{MilliCPU: 9000, MemoryMiB: 1024}, Estimate: time.Second, Gang: true})
	c.s.jobs["gang"].suspected = true
	type call struct {
		request AdviceRequest
		at      time.Duration
	}
	var calls []call
	for range 400 { // 20 s
		c.now += 50 * time.Millisecond
		c.endDueRuns()
		c.pollHosts()
		p := c.s.Decide(c.now, c.now)
		if len(p.Starts) == 5 {
			return
		}
		if len(c.s.jobs["gang"].groups[0].givenBack) > 0 {
			t.Fatal("hosts were given back while advice about them was awaited")
		}
		for _, a := range p.AdviceRequests {
			calls = append(calls, call{a, c.now + a.Duration})
		}
		for len(calls) > 0 && c.now >= calls[0].at {
			c.answerAdviceRequests(&Plan{AdviceRequests: []AdviceRequest{calls[0].request}})
			calls = calls[1:]
		}
	}
	t.Errorf("the gang has not been started in 20 s on 24 idle hosts, of which a third is approved; it %s", c.s.jobs["gang"].groups[0].waitReason)
}

// Guards against tasks that run until they are cancelled and wait one after the other, each
// for as long as it takes to show that the one before crashes no host late.
func TestLongRunningTasksAreTriedSideBySide(t *testing.T) {
	c := crashCluster(40)
	step := smallStep(4, time.Hour)
	step.LongRunning = true
	c.submit("serving", "q", "a", step)
	j := c.s.jobs["serving"]
	j.suspected, j.groups[0].tasks[0].evidence.Confirmed = true, []cell.Crash{{Run: 1, Suspects: 1, Seen: true}, {Run: 2, Suspects: 1, Seen: true}}
	for range 30 {
		c.advance(100 * time.Millisecond)
	}
	if got := c.running("serving"); got != step.Count {
		t.Errorf("%d tasks run after 3 s in an idle cell, want %d", got, step.Count)
	}
}

// Guards against a task that runs until it is cancelled and never starts again, since its
// submission is suspected and the other tasks, whose ends it waits for, have none.
func TestLostTaskOfLongRunningStepIsTriedBesideTheOthers(t *testing.T) {
	c := crashCluster(6)
	step := smallStep(6, time.Hour)
	step.LongRunning, step.MaxPerHost = true, 1
	c.submit("serving", "q", "a", step)
	c.advance(10 * time.Millisecond)
	c.crash("h00")
	for range 60 {
		c.advance(100 * time.Millisecond)
	}
	if got := c.running("serving"); got != step.Count {
		t.Errorf("%d tasks run 6 s after a host crashed right after their start, want %d", got, step.Count)
	}
}
