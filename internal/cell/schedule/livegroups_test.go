package schedule

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// heapBytes returns the memory of live objects.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against schedules of which nothing is due for months and that exceed the memory of
// each owner in turn, so that the cell is gone.
func TestOccurrencesThatAreNotDueTakeNoMemory(t *testing.T) {
	const schedules = 20
	c := newCluster(3, resource.Vector{MilliCPU: 16_000, MemoryMiB: 64_000})
	c.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second})
	before := heapBytes()
	for i := range schedules {
		sub := &cell.Submission{
			ID: fmt.Sprintf("schedule%d", i), Team: "a", Queue: c.queues["q"], Steps: []cell.Step{smallStep(1, time.Second)},
			Occurrences: cell.MaxTasks, FirstDue: c.wall() + time.Second, Interval: time.Minute,
		}
		c.jobs[sub.ID] = sub
		c.s.Add(sub, cell.Progress{}, false, c.now, c.wall())
	}
	const memoryLimit = 284 << 20
	if took := heapBytes() - before; took > memoryLimit/10 {
		t.Errorf("%d schedules take %d MiB, want at most a tenth of the memory of a process", schedules, took>>20)
	}
	for range 100 {
		c.advance(100 * time.Millisecond)
	}
	if n := len(c.done); n != schedules {
		t.Errorf("%d tasks are done, want the first one of each of %d schedules", n, schedules)
	}
	for range 600 {
		c.advance(100 * time.Millisecond)
	}
	if n := len(c.done); n != 2*schedules || c.s.weight != 0 || len(c.s.groups) != 0 {
		t.Errorf("%d tasks are done, want two of each schedule; weight %d, groups %d", n, c.s.weight, len(c.s.groups))
	}
}

// checkWeight checks that the weight is that of all groups, and within the bound.
func (c *cluster) checkWeight(t *rapid.T) {
	weight, ofTeam := 0, map[string]int{}
	for _, g := range c.s.liveGroups() {
		weight += g.weight()
		ofTeam[g.job.team.name] += g.weight()
	}
	if weight != c.s.weight || weight > c.s.options.MaxWeight {
		t.Fatalf("the groups weigh %d, %d is counted, the bound is %d", weight, c.s.weight, c.s.options.MaxWeight)
	}
	for name, team := range c.s.teams {
		if team.weight != ofTeam[name] {
			t.Fatalf("the groups of team %s weigh %d, %d is counted", name, ofTeam[name], team.weight)
		}
	}
}

// Guards against an owner, or its successor, that holds more work than its memory allows, and
// against work that was accepted and never begins, since the owner held other work.
func TestOwnerHoldsBoundedWorkAndServesAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most = 120 // the largest submission takes less than reserveShare of it
		c := newCluster(rapid.IntRange(2, 4).Draw(t, "hosts"), resource.Vector{MilliCPU: 16_000, MemoryMiB: 64_000})
		c.s.options.MaxWeight = most
		c.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second})
		for i := range rapid.IntRange(5, 60).Draw(t, "events") {
			switch id := fmt.Sprintf("job%02d", i); rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				for c.anyUnreachable() {
					c.advance(100 * time.Millisecond)
				}
				c.replaceOwner()
				c.s.MarkReconciled(c.now)
			case 1, 2:
				step := smallStep(rapid.IntRange(1, 3).Draw(t, "tasks"), 300*time.Millisecond)
				sub := &cell.Submission{
					ID: id, Team: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"), Queue: c.queues["q"], Steps: []cell.Step{step}, Received: c.now,
					Occurrences: rapid.IntRange(1, 40).Draw(t, "occurrences"), FirstDue: c.wall(), Interval: time.Duration(rapid.IntRange(-20, 50).Draw(t, "interval")) * time.Millisecond,
				}
				c.jobs[id] = sub
				c.s.Add(sub, cell.Progress{}, false, c.now, c.wall())
			case 3:
				c.s.Cancel(rapid.SampledFrom(append(c.jobIDs(), "unknown")).Draw(t, "cancelled"), c.now)
			default:
				steps := []cell.Step{smallStep(rapid.IntRange(1, 20).Draw(t, "tasks"), 300*time.Millisecond)}
				if rapid.Bool().Draw(t, "second step") {
					steps = append(steps, smallStep(rapid.IntRange(1, 20).Draw(t, "tasks"), 100*time.Millisecond))
					steps[1].After = []int{0}
				}
				c.submit(id, "q", rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"), steps...)
			}
			c.advance(time.Duration(rapid.IntRange(5, 300).Draw(t, "ms")) * time.Millisecond)
			c.checkWeight(t)
		}
		if !c.stepUntilFinished(3000, 100*time.Millisecond) {
			for id := range c.jobs {
				if !c.state[id].Final() {
					t.Errorf("%s is open after 300 s: %v", id, c.s.Explain(id))
				}
			}
		}
		for range 10 { // the runs of cancelled submissions end
			c.advance(100 * time.Millisecond)
		}
		c.checkWeight(t)
		if c.s.weight != 0 {
			t.Errorf("nothing is open, and groups of a weight of %d are held", c.s.weight)
		}
		if len(c.violations) > 0 {
			t.Error(c.violations[0])
		}
	})
}

// Guards against a team that keeps the others from being served, since its waiting work is
// all that the owner may hold.
func TestTeamLeavesRoomForOthers(t *testing.T) {
	c := newCluster(2, resource.Vector{MilliCPU: 16_000, MemoryMiB: 64_000})
	c.s.options.MaxWeight = 1000
	c.teams["a"] = cell.Team{Name: "a", Weight: 100, Limit: resource.Vector{MilliCPU: 1000}}
	c.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second})
	for i := range 30 {
		c.submit(fmt.Sprintf("many%02d", i), "q", "a", smallStep(100, time.Minute))
	}
	for i := range 20 {
		id := fmt.Sprintf("small%02d", i)
		c.submit(id, "q", "b", smallStep(1, 100*time.Millisecond))
		c.advance(50 * time.Millisecond)
		if c.state[id] == cell.Queued {
			t.Fatalf("%s has not begun: %v", id, c.s.Explain(id))
		}
	}
}

// Guards against a successor that exceeds its memory with work that was begun under an owner
// without the bound, and against what it forgets of such work while that waits.
func TestSuccessorHoldsBoundedWorkAlsoIfItHasBegun(t *testing.T) {
	const jobs, tasks = 20, 30
	c := newCluster(2, resource.Vector{MilliCPU: 16_000, MemoryMiB: 64_000})
	c.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second, MaxAttempts: 2})
	c.fails = func(task cell.TaskID, run int64) bool { return task.Index%5 == 0 && run == 1 }
	c.takes = func(task cell.TaskID, estimate time.Duration) time.Duration {
		return time.Duration(1+task.Index%3*50) * estimate
	}
	for i := range jobs {
		step := smallStep(tasks, 100*time.Millisecond)
		step.Size = resource.Vector{MilliCPU: 10, MemoryMiB: 10}
		c.submit(fmt.Sprintf("job%02d", i), "q", "a", step)
	}
	for range 4 {
		c.advance(100 * time.Millisecond)
	}
	for range 2 {
		c.s.options.MaxWeight = 4 * tasks
		for _, h := range c.hosts {
			h.runs = nil // they ended without a report
		}
		c.replaceOwner()
		if c.s.weight > c.s.options.MaxWeight {
			t.Errorf("the successor holds a weight of %d, the bound is %d", c.s.weight, c.s.options.MaxWeight)
		}
		c.s.MarkReconciled(c.now)
		c.advance(100 * time.Millisecond)
	}
	if !c.stepUntilFinished(3000, 100*time.Millisecond) {
		t.Error("work is open after 300 s")
	}
	for id, state := range c.state {
		if state != cell.Completed {
			t.Errorf("%s is %s", id, state)
		}
	}
	if len(c.violations) > 0 {
		t.Error(c.violations[0])
	}
}
