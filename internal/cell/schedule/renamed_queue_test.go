package schedule

import (
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// Guards against accepted work that waits for good, since its queue has another name and another
// service now, and no host of the former service is left; and against work that moves to the
// service of another queue.
func TestWorkFollowsItsRenamedQueue(t *testing.T) {
	accepted := cell.Queue{Name: "q", Host: "h.example", PathPrefix: "/q/", Service: "former"}
	earlier := accepted.Snapshot()
	earlier.Host, earlier.PathPrefix = "", "" // as earlier versions stored it
	renamed := cell.Queue{Name: "renamed", Host: "h.example", PathPrefix: "/q/", Service: "present"}
	for name, c := range map[string]struct {
		stored cell.Queue
		queues []cell.Queue
		starts bool
	}{
		"the queue is renamed":                     {accepted.Snapshot(), []cell.Queue{renamed}, true},
		"an earlier version has stored it":         {earlier, []cell.Queue{renamed}, false},
		"the queue is removed":                     {accepted.Snapshot(), []cell.Queue{{Name: "other", Host: "h.example", PathPrefix: "/other/", Service: "present"}}, false},
		"the queue is moved, another has its path": {accepted.Snapshot(), []cell.Queue{renamed, {Name: "q", Host: "h.example", PathPrefix: "/moved/", Service: "former"}}, false},
	} {
		for _, addedFirst := range []bool{true, false} {
			const now = time.Hour
			s := New(Options{})
			hosts := []cell.Host{{ID: "h", Service: "present", Capacity: resource.Vector{MilliCPU: 16_000, MemoryMiB: 64_000}}}
			s.SetHosts(hosts)
			s.SetListedHosts(hosts)
			s.ApplyReport("h", now, now, cell.HostReport{StartedMs: 1})
			s.MarkReconciled(now)
			add := func() {
				sub := &cell.Submission{ID: "5c0e7a21d94b36f8", Team: "a", Queue: c.stored, Steps: []cell.Step{{Count: 1, Size: resource.Vector{MilliCPU: 1000}, Estimate: time.Second}}}
				s.Add(sub, cell.Progress{}, false, now, now)
			}
			s.SetDesired(&cell.Desired{Version: 1, Queues: []cell.Queue{accepted}})
			if addedFirst {
				add()
			}
			s.SetDesired(&cell.Desired{Version: 2, Queues: c.queues})
			if !addedFirst {
				add()
			}
			if started := len(s.Decide(now, now).Starts) > 0; started != c.starts {
				t.Errorf("%s, added first %t: the work starts on a host of the present service: %t, want %t", name, addedFirst, started, c.starts)
			}
		}
	}
}
