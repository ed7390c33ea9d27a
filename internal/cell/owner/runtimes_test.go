package owner

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/medlarpulley/medlarpulley/internal/boottime"
	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/cell/runtimes"
	"github.com/medlarpulley/medlarpulley/internal/cell/schedule"
	"github.com/medlarpulley/medlarpulley/platform"
)

// keyJournal holds the keys of each append.
type keyJournal struct {
	mu      sync.Mutex
	appends [][]string
}

func (j *keyJournal) Store(_ context.Context, records []platform.Record) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	var keys []string
	for _, r := range records {
		keys = append(keys, r.Key)
	}
	j.appends = append(j.appends, keys)
	return nil
}

// learnedRecord returns the value of a record of run times of queue "q", which take 2 s.
func learnedRecord() []byte {
	m := runtimes.New(runtimes.Options{})
	for i := range 40 {
		m.Observe(runtimes.Key{Queue: "q"}, runtimes.Run{Took: 2 * time.Second, Estimate: 8 * time.Second, HostSpeed: 1, Host: string(rune('a' + i%20))}, false)
	}
	return append(append([]byte(`{"model":`), m.Snapshot()...), '}')
}

func learningOptions(o Options) Options {
	o.Self, o.WallClock = registry.Ownership{Token: 1}, func() time.Duration { return 0 }
	o.Desired, o.EarlierOwnersGone = func() *cell.Desired { return nil }, func() bool { return true }
	o.Features = schedule.Features{LearnRunTimes: true}
	if o.Clock == nil {
		o.Clock = boottime.Clock{}
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return o
}

// endRun lets one run of a submission end on a host.
func endRun(ow *Owner, number int64, id string) {
	now := ow.options.Clock.Now()
	spec := cell.Host{ID: "h", Service: "s"}
	ow.scheduler.SetHosts([]cell.Host{spec})
	ow.scheduler.SetListedHosts([]cell.Host{spec})
	ow.scheduler.ApplyReport("h", now, now, cell.HostReport{})
	ow.scheduler.Add(&cell.Submission{ID: id, Queue: cell.Queue{Name: "q", Service: "s"}, Steps: []cell.Step{{Count: 1, Estimate: time.Second}}}, cell.Progress{}, false, now, 0)
	ow.scheduler.MarkReconciled(now)
	for _, o := range ow.scheduler.Decide(now, 0).Starts {
		ow.scheduler.Started(o.Host, o.Task, o.Run, now)
		end := cell.Ended{Number: number, Task: o.Task, Run: o.Run, Outcome: cell.OutcomeDone}
		ow.scheduler.ApplyReport("h", now+time.Second, now+time.Second, cell.HostReport{Ended: []cell.Ended{end}})
	}
}

// Guards against calls of the store for run times alone, and against more than one record of
// them in 5 s.
func TestRunTimesAreStoredOnlyWithOtherRecords(t *testing.T) {
	ow := New(learningOptions(Options{}))
	other := []platform.Record{{Key: "p/x", Value: []byte("{}")}}
	if got := ow.withPeriodicRecords(other, 0); len(got) != 1 {
		t.Error("run times are stored before any run has ended")
	}
	endRun(ow, 1, "one")
	now := time.Hour
	if got := ow.withPeriodicRecords(nil, now); len(got) != 0 {
		t.Error("run times are stored without other records")
	}
	if got := ow.withPeriodicRecords(make([]platform.Record, maxRecordsPerAppend), now); len(got) != maxRecordsPerAppend {
		t.Error("run times are stored with an append of their own")
	}
	got := ow.withPeriodicRecords(other, now)
	if len(got) != 2 || got[1].Key != "t" || len(got[1].Value) == 0 {
		t.Fatalf("the records are %v", got)
	}
	endRun(ow, 2, "two")
	if got := ow.withPeriodicRecords(other, now+runTimesStoreInterval-1); len(got) != 1 {
		t.Error("run times are stored twice within the interval")
	}
	if got := ow.withPeriodicRecords(other, now+runTimesStoreInterval); len(got) != 2 {
		t.Error("run times are not stored after the interval")
	}
	if got := ow.withPeriodicRecords(other, now+2*runTimesStoreInterval); len(got) != 1 {
		t.Error("run times are stored again without news")
	}
}

// Guards against a successor that makes its first decisions by the estimates.
func TestSuccessorRestoresRunTimesBeforeItsFirstDecision(t *testing.T) {
	reg := registry.New(slog.New(slog.DiscardHandler))
	reg.Apply(registry.RunTimesRecord(learnedRecord()))
	ow := New(learningOptions(Options{RunTimes: reg.RunTimes, Stored: func() []registry.Entry {
		return []registry.Entry{{Submission: &cell.Submission{ID: "x", Queue: cell.Queue{Name: "q", Service: "s"}, Steps: []cell.Step{{Count: 1, Estimate: 8 * time.Second}}}}}
	}}))
	ow.load()
	totals, learned := ow.scheduler.RunTimeTotals()
	if !learned || totals.Keys != 1 || totals.Samples != 40 {
		t.Errorf("the successor has learned %+v", totals)
	}
	if d := ow.Dump().Cell.RunTimes; len(d) != 1 || d[0].Queue != "q" || d[0].MedianMs < 1900 || d[0].MedianMs > 2100 {
		t.Errorf("the dump shows %+v", d)
	}
}

// Guards against an owner that fails at a malformed record, and against one that starts
// without a word from the estimates.
func TestMalformedRunTimesAreIgnoredWithALogLine(t *testing.T) {
	for _, value := range []string{"null", "{}", "[", `{"model":{"version":1,"keys":[{"times":[0,0]}]}}`, "\xff"} {
		text := &bytes.Buffer{}
		ow := New(learningOptions(Options{Log: slog.New(slog.NewTextHandler(text, nil)), RunTimes: func() []byte { return []byte(value) }, Stored: func() []registry.Entry {
			return []registry.Entry{{Submission: &cell.Submission{ID: "x", Steps: []cell.Step{{Count: 1}}}}}
		}}))
		ow.load()
		if !strings.Contains(text.String(), "The stored run times cannot be decoded and are ignored.") {
			t.Errorf("%q: the log is %q", value, text)
		}
		if ow.Explain("x") == nil {
			t.Errorf("%q: the submission is lost", value)
		}
	}
}

// Guards against run times that no term stores: they are to reach the log with the progress
// of submissions.
func TestTermStoresRunTimesWithProgress(t *testing.T) {
	g := gomega.NewWithT(t)
	journal := &keyJournal{}
	ow := New(learningOptions(Options{Journal: journal}))
	endRun(ow, 1, "one")
	ctx, cancel := context.WithCancel(t.Context())
	ow.runGuarded(func() { ow.persist(ctx) })
	g.Expect(ow.storeRounds.waitStored(ctx)).To(gomega.BeTrue())
	cancel()
	ow.goroutines.Wait()
	found := false
	for _, keys := range journal.appends {
		for _, k := range keys {
			found = found || k == "t"
		}
		if len(keys) == 1 && keys[0] == "t" {
			t.Error("an append holds run times alone")
		}
	}
	if !found {
		t.Errorf("the appends are %v", journal.appends)
	}
}

// Guards against gauges by which operators cannot see whether the learned run times are any
// better than the estimates.
func TestGaugesOfRunTimes(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	ow := New(learningOptions(Options{Metrics: scope, RunTimes: learnedRecord, Stored: func() []registry.Entry { return nil }}))
	ow.load()
	ow.showRunTimes(time.Hour)
	gauges := scope.Snapshot().Gauges()
	for name, want := range map[string]float64{"run_time_keys+": 1, "run_time_samples+": 40} {
		if g := gauges[name]; g == nil || g.Value() != want {
			t.Errorf("the gauge %s is %v, want %g", name, g, want)
		}
	}
	learned, estimate := gauges["run_time_error+"], gauges["run_time_estimate_error+"]
	if learned == nil || estimate == nil || learned.Value() >= estimate.Value() {
		t.Errorf("the errors are %v and %v; the estimates were off by a factor of 4", learned, estimate)
	}
}
