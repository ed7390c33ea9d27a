package schedule

import (
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// Guards against a submission that counts as begun, and is missing from the pending
// count, although its hosts refused or never received every start.
func TestSubmissionIsQueuedUntilATaskHasStarted(t *testing.T) {
	c := newCluster(2, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
	c.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second})
	c.submit("job", "q", "a", smallStep(1, time.Second))
	c.decide(func(Start) int { return 3 }) // refused
	if got := c.s.jobs["job"].state; got != cell.Queued {
		t.Errorf("the submission is %s after a refused start, want queued", got)
	}
	c.now += 2 * time.Second
	c.decide(func(Start) int { return 1 }) // started, but the answer is lost
	if got := c.s.jobs["job"].state; got != cell.Queued {
		t.Errorf("the submission is %s after a start without an answer, want queued", got)
	}
	c.pollHosts()
	if got := c.s.jobs["job"].state; got != cell.Active {
		t.Errorf("the submission is %s while a task runs, want running", got)
	}
}
