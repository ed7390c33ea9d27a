package schedule

import (
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// Guards against calls for advice that fail and are made again at once, and against a wait
// that outlasts the fault.
func TestFailedCallsForAdviceAreMadeLessOften(t *testing.T) {
	c := newCluster(4, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
	c.adviceTakesTime = true
	c.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second, Advice: &cell.AdvicePolicy{Decision: 50 * time.Millisecond, Validity: time.Minute}})
	c.submit("x", "q", "a", smallStep(1, time.Second))
	id := cell.GroupID{Submission: "x"}
	for range 640 { // 12.8 s
		c.now += 20 * time.Millisecond
		c.decide(nil)
		for range c.calls {
			c.s.AdviceFailed(id, c.now)
		}
		c.calls = nil
	}
	// At 0, 0.1, 0.3, 0.7, 1.5, 3.1, 6.3, 9.5 and 12.7 s.
	if got := c.callCount[id]; got < 8 || got > 9 {
		t.Errorf("%d calls are made in 12.8 s", got)
	}
	for at := c.now; c.running("x") == 0; {
		if c.advance(50 * time.Millisecond); c.now-at > maxAdviceRetryBackoff+200*time.Millisecond {
			t.Fatal("nothing is started after the fault has ended")
		}
	}
}
