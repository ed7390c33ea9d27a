package owner

import (
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/admission"
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
	if l, ok := r.Load(); !ok || len(l.Summary.Backlogs) != 1 || l.Summary.Backlogs[0].Longest() != 29_000 {
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

// Guards against a wait that stays in force although the store took so long for it that it has
// changed, and against an empty summary after each slow append.
func TestSummaryIsWithdrawnAfterASlowAppend(t *testing.T) {
	w := newOverloadedOwner(t)
	now := w.options.Clock.Now()
	summary := func(at time.Duration) *admission.Summary {
		records := w.loadRecords(at)
		if len(records) == 0 {
			return nil
		}
		s, err := admission.Decode(records[0].Value)
		if err != nil {
			t.Fatal(err)
		}
		return &s
	}
	w.published.stored(2 * slowRound)
	if s := summary(now); s == nil || len(s.Backlogs) == 0 {
		t.Fatalf("the first summary is %+v", s)
	}
	w.published.stored(slowRound / 10)
	if s := summary(now + 10*time.Millisecond); s != nil {
		t.Errorf("after a fast append the next one holds %+v", s)
	}
	w.published.stored(slowRound + time.Millisecond)
	if s := summary(now + 20*time.Millisecond); s == nil || len(s.Backlogs) != 0 {
		t.Errorf("after a slow append the next one holds %+v", s)
	}
	w.published.stored(2 * slowRound)
	if s := summary(now + 30*time.Millisecond); s != nil {
		t.Errorf("after a second slow append the next one holds %+v", s)
	}
	if s := summary(now + 20*time.Millisecond + loadInterval); s == nil || len(s.Backlogs) == 0 {
		t.Errorf("a second later the summary is %+v", s)
	}
}

// Guards against a summary that names no offset, so that its age is not known, or one that the
// decision behind it had not seen.
func TestSummaryNamesWhatTheOwnerHadApplied(t *testing.T) {
	w := newOverloadedOwner(t)
	w.options.Applied = func() uint64 { return 77 }
	w.options.Advisor = noAdvisor{}
	w.plan()
	w.options.Applied = func() uint64 { return 99 } // read after the decision
	records := w.loadRecords(w.options.Clock.Now())
	if len(records) != 1 {
		t.Fatalf("%d records", len(records))
	}
	if s, err := admission.Decode(records[0].Value); err != nil || s.Applied != 77 {
		t.Errorf("the summary is %+v, %v", s, err)
	}
}

// noAdvisor is an Advisor without capacity.
type noAdvisor struct{ Advisor }

func (noAdvisor) Capacity() cell.AdviceRoom { return cell.AdviceRoom{} }
