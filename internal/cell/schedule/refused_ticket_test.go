package schedule

import (
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// Guards against an owner process that ends since a host refused a ticket of a queue
// that had no advice policy when its task was placed: the refusal was written to a
// map that did not exist.
func TestRefusedTicketWithoutAdvice(t *testing.T) {
	c := newCluster(3, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
	c.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second})
	c.submit("job", "q", "a", cell.Step{Count: 1, Size: resource.Vector{MilliCPU: 1000}, Estimate: time.Second})
	p := c.s.Decide(c.now, c.now)
	if len(p.Starts) != 1 {
		t.Fatalf("%d starts", len(p.Starts))
	}
	o := p.Starts[0]
	c.s.Refused(o.Host, o.Task, o.Run, RefusedInvalidTicket, c.now)
	c.now += time.Second
	if p = c.s.Decide(c.now, c.now); len(p.Starts) != 1 {
		t.Errorf("%d starts after the refusal, want 1", len(p.Starts))
	}
}
