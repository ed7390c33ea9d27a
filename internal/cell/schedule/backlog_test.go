package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/admission"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// coreStep returns a step of tasks of one core.
func coreStep(count int, estimate time.Duration) cell.Step {
	return cell.Step{Count: count, Size: resource.Vector{MilliCPU: 1000, MemoryMiB: 64}, Estimate: estimate}
}

// overloadedTeam returns a cell of 64 cores in which team a has a limit of 8 and many
// submissions of 8 core-seconds each.
func overloadedTeam(submissions int) *cluster {
	c := newCluster(4, resource.Vector{MilliCPU: 16_000, MemoryMiB: 65_536})
	c.teams["a"] = cell.Team{Name: "a", Weight: 1000, Limit: resource.Vector{MilliCPU: 8000}}
	c.queue(cell.Queue{Name: "q", Priority: 1, Stretch: 10, Latency: 10 * time.Second})
	for i := range submissions {
		c.submit(fmt.Sprintf("s%03d", i), "q", "a", coreStep(8, time.Second))
	}
	c.advance(10 * time.Millisecond)
	return c
}

// Guards against waits that are published while there is room, that count what already runs,
// or that count the wait for the room under a limit as one of the cell.
func TestBacklogsOfALimitedTeam(t *testing.T) {
	if got := overloadedTeam(1).s.LoadSummary(); len(got.Backlogs) != 0 {
		t.Errorf("with all work running, the summary is %+v", got)
	}
	s := overloadedTeam(11).s.LoadSummary()
	got := s.Backlogs
	if len(got) != 1 || got[0].Team != "a" || got[0].Queue != "q" || got[0].Longest() != 10_000 || len(got[0].Memory) != 0 || len(s.Services) != 0 {
		t.Errorf("with ten submissions waiting that take a second each, the backlogs are %+v", got)
	}
}

// Guards against a summary that keeps submissions in memory after their end.
func TestSummaryKeepsNoGroups(t *testing.T) {
	c := overloadedTeam(20)
	if got := c.s.LoadSummary(); len(got.Backlogs) == 0 {
		t.Fatal("there is no backlog")
	}
	for _, w := range c.s.waitingBuffer[:cap(c.s.waitingBuffer)] {
		if w.group != nil {
			t.Fatalf("the buffer holds a group of %s", w.group.job.sub.ID)
		}
	}
}

// Guards against a backlog that counts work which new work passes: late work.
func TestBacklogsLeaveOutLateWork(t *testing.T) {
	c := overloadedTeam(30)
	for range 40 {
		c.advance(500 * time.Millisecond)
	}
	for _, b := range c.s.LoadSummary().Backlogs {
		t.Errorf("the work waits for %d ms although all that waits is late", b.Longest())
	}
}

// Guards against refusals of submissions that are never refused, and against a bound other than
// three times the objective.
func TestAdmissionRequest(t *testing.T) {
	q := cell.Queue{Name: "q", Priority: 1, Stretch: 2, Latency: time.Second}
	steps := []cell.Step{coreStep(1, time.Second), coreStep(1, 2*time.Second)}
	steps[1].After = []int{0}
	r, ok := AdmissionRequest(&cell.Submission{ID: "x", Team: "a", Steps: steps}, q)
	if !ok || r.Work != 3*time.Second || r.Latest != 21*time.Second || r.Laxity != 4*time.Second || r.Demand != (admission.Amounts{1000, 64}) || r.Team != "a" || r.Queue != "q" {
		t.Errorf("request %+v, %t", r, ok)
	}
	if _, ok := AdmissionRequest(&cell.Submission{Occurrences: 2, Steps: steps}, q); ok {
		t.Error("a submission with due times may be refused")
	}
	urgent := q
	urgent.Priority = 0
	if _, ok := AdmissionRequest(&cell.Submission{ID: "x", Team: "a", Steps: steps}, urgent); ok {
		t.Error("a submission to a queue of priority 0 may be refused, for work of before its queue got that priority")
	}
	steps[1].LongRunning = true
	if _, ok := AdmissionRequest(&cell.Submission{Steps: steps}, q); ok {
		t.Error("a long-running submission may be refused")
	}
}

// Guards against accepted work that can no longer be of use and takes the room of work that
// can, and against such work that never ends.
func TestUselessWorkLeavesRoom(t *testing.T) {
	for _, on := range []bool{false, true} {
		c := newCluster(4, resource.Vector{MilliCPU: 16_000, MemoryMiB: 65_536})
		c.s.options.Features.Admission = on
		c.teams["a"] = cell.Team{Name: "a", Weight: 1}
		c.queue(cell.Queue{Name: "q", Priority: 1, Stretch: 1, Latency: time.Second})
		c.submit("filler", "q", "b", coreStep(64, 8*time.Second))
		c.advance(10 * time.Millisecond)
		for i := range 10 {
			c.submit(fmt.Sprintf("old%d", i), "q", "b", coreStep(8, time.Second))
		}
		for range 10 {
			c.submit(fmt.Sprintf("credit%d", len(c.jobs)), "q", "a", coreStep(1, time.Second))
		}
		for c.now < time.Hour+7900*time.Millisecond {
			c.advance(100 * time.Millisecond)
		}
		for i := range 12 { // beyond the rate of its team, so that only useless work may come later
			c.submit(fmt.Sprintf("new%d", i), "q", "a", coreStep(8, time.Second))
		}
		useful := 0
		for range 7 {
			c.advance(100 * time.Millisecond)
		}
		for i := range 12 {
			useful += c.running(fmt.Sprintf("new%d", i))
		}
		t.Logf("admission %t: %d tasks of new submissions run", on, useful)
		if on && useful < 56 {
			t.Errorf("%d tasks of submissions that can be of use run beside useless ones", useful)
		}
		if !c.stepUntilFinished(600, 100*time.Millisecond) {
			t.Error("useless work has not ended after a minute")
		}
		for _, v := range c.violations {
			t.Error(v)
		}
	}
}
