package schedule

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// Guards against an occurrence that is lost, runs twice, or starts earlier or later than
// by the error of the owner's wall clock, while that clock jumps forward and back and
// owners with other clocks take over.
func TestOccurrencesSurviveClockJumps(t *testing.T) {
	const (
		largestError = 5 * time.Second
		// startDelay is the time between two decisions, and a takeover.
		startDelay = 400 * time.Millisecond
	)
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(4, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
		c.queue(cell.Queue{Name: "q", Priority: 1, Stretch: 2, Latency: time.Second})
		for i := range rapid.IntRange(1, 4).Draw(t, "submissions") {
			id := fmt.Sprintf("timed%d", i)
			sub := &cell.Submission{
				ID: id, Team: "a", Queue: c.queues["q"], Received: c.now, Steps: []cell.Step{smallStep(2, time.Second)},
				FirstDue:    c.now + time.Duration(rapid.IntRange(0, 8000).Draw(t, "first due"))*time.Millisecond,
				Interval:    time.Duration(rapid.IntRange(100, 4000).Draw(t, "interval")) * time.Millisecond,
				Occurrences: rapid.IntRange(1, 5).Draw(t, "occurrences"),
			}
			c.jobs[id] = sub
			c.s.Add(sub, cell.Progress{}, false, c.now, c.wall())
		}
		started := make(map[cell.TaskID]bool)
		check := func(o Start) int {
			due := c.jobs[o.Task.Submission].Due(o.Task.Occurrence)
			if early := due - c.now; early > max(c.wallError, 0) {
				t.Errorf("%s starts %s before its time, while the clock is %s ahead", o.Task, early, c.wallError)
			}
			if late := c.now - due; !started[o.Task] && late > largestError+startDelay {
				t.Errorf("%s starts %s after its time", o.Task, late)
			}
			started[o.Task] = true
			return 0
		}
		for end := c.now + 40*time.Second; c.now < end; {
			switch rapid.IntRange(0, 20).Draw(t, "event") {
			case 0, 1:
				c.wallError = time.Duration(rapid.IntRange(-5000, 5000).Draw(t, "error in ms")) * time.Millisecond
			case 2:
				c.wallError = 0
			case 3:
				c.replaceOwner()
				c.s.MarkReconciled(c.now)
			}
			c.now += 200 * time.Millisecond
			c.endDueRuns()
			c.pollHosts()
			c.decide(check)
		}
		for id := range c.jobs {
			if c.state[id] != cell.Completed {
				t.Errorf("%s is %s: %v", id, c.state[id], c.s.Explain(id))
			}
		}
		for _, v := range c.violations {
			t.Error(v)
		}
	})
}
