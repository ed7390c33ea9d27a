package schedule

import (
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// Guards against a task that runs twice: its host restarted while the start order was on
// its way, the run counted as gone, and the new instance carried the order out.
func TestOrderOnItsWayReachesRestartedHost(t *testing.T) {
	for _, answered := range []bool{true, false} {
		c := newCluster(2, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
		c.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second})
		c.submit("job", "q", "a", smallStep(1, time.Second))
		p := c.s.Decide(c.now, c.now)
		if len(p.Starts) != 1 {
			t.Fatalf("%d starts, want 1", len(p.Starts))
		}
		o := p.Starts[0]
		c.restart(o.Host)
		c.advance(100 * time.Millisecond)
		c.start(o) // the order arrives
		if answered {
			c.s.Started(o.Host, o.Task, o.Run, c.now)
		} else {
			c.s.Unanswered(o.Host, o.Task, o.Run, c.now)
		}
		if !c.stepUntilFinished(50, 100*time.Millisecond) {
			t.Error("the submission is open after 5 s")
		}
		for _, v := range c.violations {
			t.Error(v)
		}
	}
}

// Guards against a task that waits for ever for an order which never arrived, since its
// host restarted meanwhile.
func TestOrderOnItsWayIsLostWithItsHost(t *testing.T) {
	c := newCluster(2, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
	c.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second})
	c.submit("job", "q", "a", smallStep(1, time.Second))
	o := c.s.Decide(c.now, c.now).Starts[0]
	c.restart(o.Host)
	c.advance(100 * time.Millisecond)
	c.s.Unanswered(o.Host, o.Task, o.Run, c.now)
	if !c.stepUntilFinished(50, 100*time.Millisecond) {
		t.Error("the submission is open after 5 s")
	}
}
