package schedule

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// replaceOwner replaces the scheduler by that of a new owner, which knows the
// stored submissions and what the reachable hosts report.
func (c *cluster) replaceOwner() {
	old := c.s
	c.calls = nil
	c.s = New(Options{GangTimeout: 3 * time.Second, RunNumberBase: old.options.RunNumberBase + 1000, MaxWeight: old.options.MaxWeight, Features: old.options.Features})
	c.publish()
	for _, id := range c.jobIDs() {
		if p, ok := old.Progress(id); ok {
			c.s.Add(c.jobs[id], p, true, c.now, c.wall())
		}
	}
	var list []cell.Host
	for _, id := range c.ids() {
		list = append(list, c.hosts[id].spec)
	}
	c.s.SetHosts(list)
	c.s.SetListedHosts(list)
	c.pollHosts()
}

// Guards against a team over its limit after a takeover: what still runs on a host
// that has not answered the new owner was missing from the team's usage, while
// newer submissions started at once.
func TestLimitCountsRunsOnSilentHostsAfterTakeover(t *testing.T) {
	c := newCluster(3, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
	c.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second})
	task := cell.Step{Count: 9, Size: resource.Vector{MilliCPU: 5000, MemoryMiB: 1024}, Estimate: 5 * time.Second}
	c.submit("old", "q", "a", task)
	c.advance(10 * time.Millisecond)
	c.teams["a"] = cell.Team{Name: "a", Weight: 100, Limit: resource.Vector{MilliCPU: 35000}}
	c.hosts["h00"].runs, c.hosts["h01"].runs = nil, nil // they ended without a report
	c.hosts["h02"].unreachable = true                   // 15,000 mCPU run there
	c.replaceOwner()
	small := cell.Step{Count: 6, Size: resource.Vector{MilliCPU: 5000, MemoryMiB: 1024}, Estimate: time.Second}
	c.submit("new", "q", "a", small)
	c.submit("other", "q", "b", cell.Step{Count: 2, Size: resource.Vector{MilliCPU: 1000, MemoryMiB: 1024}, Estimate: time.Second})
	c.decide(nil)
	if len(c.violations) > 0 {
		t.Error(c.violations[0])
	}
	if got := c.running("new"); got != 3 { // the silent host may hold 16,000 mCPU
		t.Errorf("%d tasks run of a team with room for 3 under its limit", got)
	}
	if got := c.running("other"); got != 2 {
		t.Errorf("%d tasks run of a team far below its limit, want 2", got)
	}
	c.hosts["h02"].unreachable = false
	c.hosts["h02"].runs = nil
	c.pollHosts()
	c.decide(nil)
	if got := c.running("new"); got != 6 {
		t.Errorf("%d tasks run after the last host has answered, want 6", got)
	}
}

func (c *cluster) anyUnreachable() bool {
	for _, h := range c.hosts {
		if h.unreachable {
			return true
		}
	}
	return false
}

// running returns how many runs of a submission are present.
func (c *cluster) running(id string) (n int) {
	for _, h := range c.hosts {
		for _, r := range h.runs {
			if r.task.Submission == id {
				n++
			}
		}
	}
	return n
}

// Guards against a host over its capacity, a task that runs twice and a team over
// its limit when an owner is replaced at any moment, with hosts that do not answer
// the new owner and a limit that was lowered before.
func TestRulesHoldAcrossTakeovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.IntRange(3, 6).Draw(t, "hosts"), resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
		c.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second})
		limit := func() {
			c.teams["a"] = cell.Team{Name: "a", Weight: 100, Limit: resource.Vector{MilliCPU: rapid.Int64Range(6, 60).Draw(t, "limit") * 1000}}
			c.publish()
		}
		limit()
		submitted := 0
		for range rapid.IntRange(1, 25).Draw(t, "events") {
			c.now += time.Duration(rapid.IntRange(5, 300).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1:
				submitted++
				c.submit(fmt.Sprintf("job%02d", submitted), "q", rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"), drawStep(t, 0))
			case 2:
				id := rapid.SampledFrom(c.ids()).Draw(t, "host")
				c.hosts[id].unreachable = !c.hosts[id].unreachable
				if c.hosts[id].unreachable {
					c.s.MarkUnreachable(id)
				}
			case 3:
				limit()
			case 4:
				c.replaceOwner()
			}
			c.pollHosts()
			if !c.anyUnreachable() {
				c.s.MarkReconciled(c.now)
			}
			c.endDueRuns()
			c.decide(nil)
		}
		if len(c.violations) > 0 {
			t.Errorf("%d rule violations, the first: %s", len(c.violations), c.violations[0])
		}
	})
}

// Guards against a takeover that puts the submissions of a team behind all others:
// a new owner loads them at one moment, and counted that as a rate beyond the
// team's.
func TestTakeoverKeepsRateOfTeam(t *testing.T) {
	c := newCluster(3, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
	c.teams["a"] = cell.Team{Name: "a", Weight: 2}
	c.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second})
	for i := range 30 {
		c.submit(fmt.Sprintf("job%02d", i), "q", "a", cell.Step{Count: 1, Size: resource.Vector{MilliCPU: 1000}, Estimate: time.Minute})
		c.now += 500 * time.Millisecond // two a second
	}
	c.replaceOwner()
	for id, j := range c.s.jobs {
		if j.overRate {
			t.Errorf("%s counts as beyond the rate of its team", id)
		}
	}
}
