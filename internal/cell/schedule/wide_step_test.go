package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// wideSteps are the kinds of a step with very many tasks, and what is done with it.
var wideSteps = map[string]struct {
	step    cell.Step
	queue   cell.Queue
	prepare func(c *cluster, j *job)
}{
	"plain":                {},
	"few on each host":     {step: cell.Step{MaxPerHost: 4}},
	"a gang of one rack":   {step: cell.Step{Gang: true, RackLocal: true}},
	"a gang":               {step: cell.Step{Gang: true, MaxPerHost: 4}},
	"copies":               {step: cell.Step{AllowCopies: true, MaxPerHost: 4}, prepare: (*cluster).slowDown},
	"best effort":          {step: cell.Step{BestEffort: true, MaxPerHost: 4}},
	"long-running":         {step: cell.Step{LongRunning: true, MaxPerHost: 4}},
	"a label of few hosts": {step: cell.Step{Label: "r1-0", MaxPerHost: 400}},
	"suspected":            {step: cell.Step{MaxPerHost: 4}, prepare: func(_ *cluster, j *job) { j.suspected = true }},
	"of a risky queue":     {step: cell.Step{MaxPerHost: 4}, prepare: func(c *cluster, j *job) { c.s.risk(j).Starts, c.s.risk(j).Crashes = 100, 10 }},
	"advice":               {step: cell.Step{MaxPerHost: 4}, queue: cell.Queue{Advice: &cell.AdvicePolicy{Decision: 10 * time.Millisecond, Validity: time.Second}}},
	"failed at once":       {step: cell.Step{MaxPerHost: 4}, prepare: func(c *cluster, j *job) { c.failAll(j) }},
}

// slowDown lets all runs of a job make progress and not end.
func (c *cluster) slowDown(j *job) {
	c.s.usageReported = true
	for _, t := range j.groups[0].tasks {
		for _, a := range t.runs {
			a.lastProgressAt = c.now
		}
	}
}

// failAll lets all runs of a job end as failed.
func (c *cluster) failAll(j *job) {
	for _, id := range c.ids() {
		h := c.hosts[id]
		var report cell.HostReport
		for _, a := range c.s.hosts[id].sortedRuns() {
			if a.task.group.job == j {
				h.endCount++
				report.Ended = append(report.Ended, cell.Ended{Number: h.endCount, Task: a.task.id, Run: a.run, Outcome: cell.OutcomeFailed})
			}
		}
		report.StartedMs = c.s.hosts[id].life.startedMs
		report.Partial = true
		c.s.ApplyReport(id, c.now, c.now, report)
	}
}

// wideCell returns a cell in which a submission with one wide step of a kind has arrived.
func wideCell(kind string, hosts, tasks int) *cluster {
	w := wideSteps[kind]
	c := newCluster(hosts, resource.Vector{MilliCPU: 16_000, MemoryMiB: 64_000})
	c.teams = map[string]cell.Team{"a": {Name: "a"}, "b": {Name: "b"}}
	w.queue.Name, w.queue.Priority, w.queue.Stretch, w.queue.Latency = "wide", 1, 2, time.Minute
	c.queue(w.queue)
	c.queue(cell.Queue{Name: "urgent", Stretch: 2, Latency: time.Second})
	step := w.step
	step.Count, step.Size, step.Estimate = tasks, resource.Vector{MilliCPU: 25, MemoryMiB: 8}, time.Second
	c.submit("wide", "wide", "a", step)
	return c
}

// decideWide makes one decision of an owner and returns its plan.
func (c *cluster) decideWide(kind string) *Plan {
	c.now += 50 * time.Millisecond
	if j := c.s.jobs["wide"]; wideSteps[kind].prepare != nil && !j.state.Final() {
		wideSteps[kind].prepare(c, j)
	}
	c.s.SetStartRoom(512)
	p := c.s.Decide(c.now, c.now)
	c.s.TakeLogMessages()
	c.accept(p)
	return p
}

// Guards against one step with very many tasks that makes a decision take longer than a term,
// so that each owner in turn is replaced and nothing starts in the whole cell.
func TestWorkOfDecisionIsBoundedForWideSteps(t *testing.T) {
	const hosts, tasks = 48, 20_000
	most := minHeadWork + 2*minHeadWork/restDivisor + 100*hosts
	for kind := range wideSteps {
		t.Run(kind, func(t *testing.T) {
			c := wideCell(kind, hosts, tasks)
			for n := range 60 {
				urgent := fmt.Sprintf("urgent%d", n)
				c.submit(urgent, "urgent", "b", cell.Step{Count: 1, Size: resource.Vector{MilliCPU: 100, MemoryMiB: 64}, Estimate: 200 * time.Millisecond})
				p := c.decideWide(kind)
				if c.s.work.used > most {
					t.Fatalf("decision %d examined %d hosts, want at most %d", n, c.s.work.used, most)
				}
				if len(p.Starts) > 512 && !wideSteps[kind].step.Gang {
					t.Fatalf("decision %d plans %d starts", n, len(p.Starts))
				}
				if c.s.jobs[urgent].present != 1 {
					t.Fatalf("%s has not started in decision %d", urgent, n)
				}
			}
		})
	}
}

// BenchmarkDecideWideStep measures decisions about one step with very many tasks.
func BenchmarkDecideWideStep(b *testing.B) {
	for kind := range wideSteps {
		for _, hosts := range []int{48, 350, 1600} {
			for _, tasks := range []int{20_000, cell.MaxTasks} {
				b.Run(fmt.Sprintf("%s/hosts=%d/tasks=%d", kind, hosts, tasks), func(b *testing.B) {
					c := wideCell(kind, hosts, tasks)
					for b.Loop() {
						c.decideWide(kind)
					}
				})
			}
		}
	}
}
