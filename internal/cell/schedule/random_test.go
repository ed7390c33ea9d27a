package schedule

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

func drawStep(t *rapid.T, number int) cell.Step {
	s := cell.Step{
		Count:    rapid.IntRange(1, 7).Draw(t, "count"),
		Size:     resource.Vector{MilliCPU: rapid.Int64Range(1, 6).Draw(t, "cores") * 1000, MemoryMiB: rapid.Int64Range(1, 8).Draw(t, "gib") * 1024},
		Estimate: time.Duration(rapid.IntRange(1, 30).Draw(t, "tenths")) * 100 * time.Millisecond,
		Gang:     rapid.IntRange(0, 2).Draw(t, "gang") == 0,
	}
	if !s.Gang {
		s.MaxPerHost = rapid.IntRange(0, 3).Draw(t, "apart")
		s.AllowCopies = rapid.IntRange(0, 3).Draw(t, "copies") == 0
	}
	if number > 0 && rapid.Bool().Draw(t, "after") {
		s.After = []int{number - 1}
	}
	return s
}

// Guards against a host over its capacity, a task that runs twice or again after
// its end, a step that starts too early, a team over its limit, starts without
// approval, and work that never ends, under lost orders, lost answers, refused
// orders, host restarts, unreachable hosts, evacuations of zones and cancellations in any
// order.
func TestRulesHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.IntRange(6, 10).Draw(t, "hosts"), resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
		c.teams["b"] = cell.Team{Name: "b", Weight: 3, Limit: resource.Vector{MilliCPU: 45000}}
		advice := &cell.AdvicePolicy{Decision: 10 * time.Millisecond, PerHost: time.Millisecond, Validity: 2 * time.Second}
		c.queue(cell.Queue{Name: "fast", Priority: 0, MaxAttempts: 3, Stretch: 1.5, Latency: time.Second, Advice: advice})
		c.queue(cell.Queue{Name: "wide", Priority: 1, MaxAttempts: 2, Stretch: 2, Latency: time.Second})
		denied := rapid.IntRange(0, 1).Draw(t, "denied")
		c.approves = func(g cell.GroupID, host string) bool { return (int(host[2])+len(g.Submission)+g.Step)%5 >= denied }
		faulty := true
		poison := rapid.IntRange(0, 9).Draw(t, "poison")
		c.fails = func(id cell.TaskID, run int64) bool { return faulty && (int(run)+id.Index)%10 < poison/3 }
		for i := range rapid.IntRange(1, 10).Draw(t, "jobs") {
			id := fmt.Sprintf("job%d", i)
			var steps []cell.Step
			for n := range rapid.IntRange(1, 3).Draw(t, "steps") {
				steps = append(steps, drawStep(t, n))
			}
			queue := rapid.SampledFrom([]string{"fast", "wide"}).Draw(t, "queue")
			c.submit(id, queue, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"), steps...)
		}
		for range rapid.IntRange(0, 60).Draw(t, "faulty steps") {
			c.now += time.Duration(rapid.IntRange(20, 400).Draw(t, "ms")) * time.Millisecond
			id := rapid.SampledFrom(c.ids()).Draw(t, "host")
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0:
				c.restart(id)
			case 1:
				c.hosts[id].unreachable = true
				c.s.MarkUnreachable(id)
			case 2: // an unreachable host whose leases have expired runs nothing
				if h := c.hosts[id]; h.unreachable {
					h.runs = nil
					c.s.MarkAllRunsGone(id, c.now)
				}
			case 3:
				c.hosts[id].unreachable = false
			case 4:
				c.s.Cancel(fmt.Sprintf("job%d", rapid.IntRange(0, 9).Draw(t, "cancelled")), c.now)
				c.recordStates()
			case 5:
				c.evacuated = drawZones(t)
			}
			c.endDueRuns()
			c.pollHosts()
			c.decide(func(Start) int { return max(rapid.IntRange(-6, 3).Draw(t, "order"), 0) })
		}
		faulty, c.evacuated = false, nil
		for _, id := range c.ids() {
			c.hosts[id].unreachable = false
		}
		c.advance(20 * time.Second) // hosts that were avoided are tried again
		if !c.stepUntilFinished(2000, 100*time.Millisecond) {
			for id := range c.jobs {
				if !c.state[id].Final() {
					t.Errorf("%s of team %s is %s and does not end: %v", id, c.jobs[id].Team, c.state[id], c.s.Explain(id))
				}
			}
		}
		if len(c.violations) > 0 {
			t.Errorf("%d rule violations, the first: %s", len(c.violations), c.violations[0])
		}
	})
}
