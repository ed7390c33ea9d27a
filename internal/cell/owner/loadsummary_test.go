package owner

import (
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// newOverloadedOwner returns an owner with a team whose work waits for its limit.
func newOverloadedOwner(t *testing.T) *Owner {
	desired := &cell.Desired{
		Queues: []cell.Queue{{Name: "q", Priority: 1, Stretch: 10, Latency: time.Minute}},
		Teams:  map[string]cell.Team{"a": {Name: "a", Limit: resource.Vector{MilliCPU: 1000}}},
	}
	sub := &cell.Submission{ID: "5c0e7a21d94b36f8", Team: "a", Queue: desired.Queues[0], Steps: []cell.Step{{Count: 30, Size: resource.Vector{MilliCPU: 1000}, Estimate: time.Second}}}
	w := newLoadedOwner(t)
	w.options.Admission = true
	now := w.options.Clock.Now()
	w.scheduler.SetDesired(desired)
	spec := cell.Host{ID: "h", Capacity: resource.Vector{MilliCPU: 64_000}}
	w.scheduler.SetHosts([]cell.Host{spec})
	w.scheduler.SetListedHosts([]cell.Host{spec})
	w.scheduler.MarkReconciled(now)
	w.scheduler.ApplyReport("h", now, now, cell.HostReport{StartedMs: 1})
	w.scheduler.Add(sub, cell.Progress{}, false, now, 0)
	w.scheduler.Decide(now, 0)
	return w
}

// Guards against summaries that cost the store more than one record a second, that are
// published with the switch off or while nothing waits, and against waits that stay published
// after they are over.
func TestSummaryIsPublishedWhenItMatters(t *testing.T) {
	w := newOverloadedOwner(t)
	now := w.options.Clock.Now()
	w.options.Admission = false
	if got := w.loadRecords(now); len(got) != 0 {
		t.Errorf("without admission control, %d records are stored", len(got))
	}
	w.options.Admission = true
	got := w.loadRecords(now)
	if len(got) != 1 {
		t.Fatalf("%d records are stored for a backlog", len(got))
	}
	r := registry.New(w.options.Log)
	o := registry.OwnershipRecord(registry.Ownership{Node: "n", InstanceID: "i", Token: w.options.Self.Token})
	r.Apply(o)
	got[0].Offset = 1
	r.Apply(got[0])
	if l, ok := r.Load(); !ok || len(l.Summary.Backlogs) != 1 || l.Summary.Backlogs[0].OwnMs != 29_000 {
		t.Errorf("the summary is %+v, %t", l, ok)
	}
	if got := w.loadRecords(now + loadInterval - 1); len(got) != 0 {
		t.Error("a second summary is stored within a second")
	}
	w.scheduler.Cancel("5c0e7a21d94b36f8", now)
	if got := w.loadRecords(now + loadInterval); len(got) != 1 {
		t.Error("the end of the backlog is not published")
	}
	if got := w.loadRecords(now + 2*loadInterval); len(got) != 0 {
		t.Error("a summary is stored although nothing waits")
	}
}
