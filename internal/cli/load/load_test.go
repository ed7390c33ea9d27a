package load

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

var options = Options{Seed: 7, Rate: 100, Duration: 10 * time.Second, JobPercent: 50, NonIdempotentPercent: 20, UrgentPercent: 5,
	Queue: "q", Upstream: "u", Deadline: time.Minute, InFlight: 10_000}

func allOperations(o Options) (out []Operation) {
	s := newSchedule(o, "p")
	for op, ok := s.next(); ok; op, ok = s.next() {
		out = append(out, op)
	}
	return out
}

// Guards against runs that cannot be compared because their schedules differ
// though they have the same seed.
func TestScheduleIsFixedBySeed(t *testing.T) {
	a, b := allOperations(options), allOperations(options)
	if len(a) != len(b) || len(a) < 800 || len(a) > 1200 {
		t.Fatalf("schedules have %d and %d operations", len(a), len(b))
	}
	for i := range a {
		if a[i] != b[i] || (i > 0 && a[i].At < a[i-1].At) {
			t.Fatalf("operation %d is %+v and %+v", i, a[i], b[i])
		}
	}
	other := options
	other.Seed = 8
	if c := allOperations(other); c[0] == a[0] && c[1] == a[1] {
		t.Error("another seed gives the same schedule")
	}
}

// Guards against coordinated omission: a slow cluster must neither slow the
// schedule down nor hide the time that operations waited.
func TestOpenLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var sent []time.Duration
		begin := time.Now()
		run := New(options, func(ctx context.Context, _ Operation) error {
			mu.Lock()
			sent = append(sent, time.Since(begin))
			mu.Unlock()
			time.Sleep(5 * time.Second)
			return nil
		})
		run.Run(context.Background())
		plan := allOperations(options)
		if len(sent) != len(plan) {
			t.Fatalf("%d of %d sent", len(sent), len(plan))
		}
		for i, op := range plan {
			if sent[i] != op.At {
				t.Fatalf("operation %d was sent at %s instead of %s", i, sent[i], op.At)
			}
		}
		for _, k := range run.Report().Kinds {
			if k.OK != k.Planned || k.NotSent != 0 || k.P50 < 4990 || k.Max > 5010 {
				t.Errorf("report is %+v", k)
			}
		}
	})
}

// Guards against outcomes that are not counted, or counted under the wrong
// verdict.
func TestOutcomesAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := options
		o.InFlight, o.JobPercent = 1, 100
		n := 0
		run := New(o, func(context.Context, Operation) error {
			n++
			time.Sleep(100 * time.Millisecond)
			switch n % 3 {
			case 0:
				return verdict.New(verdict.DidNotRun, "x", "x")
			case 1:
				return errors.New("no verdict")
			}
			return nil
		})
		run.Run(context.Background())
		k := run.Report().Kinds[0]
		if k.NotSent == 0 || k.OK == 0 || k.Failures["did-not-run"] == 0 || k.Failures["may-have-run"] == 0 ||
			k.NotSent+k.OK+k.Failures["did-not-run"]+k.Failures["may-have-run"] != k.Planned {
			t.Errorf("report is %+v", k)
		}
	})
}

// Guards against options with which a run sends nothing or never ends.
func TestCheck(t *testing.T) {
	if err := options.Check(); err != nil {
		t.Fatal(err)
	}
	for i, change := range []func(*Options){
		func(o *Options) { o.Rate = 0 }, func(o *Options) { o.Rate = 1e9 }, func(o *Options) { o.Duration = 0 }, func(o *Options) { o.JobPercent = 101 },
		func(o *Options) { o.Queue = "" }, func(o *Options) { o.Upstream = "" }, func(o *Options) { o.InFlight = 0 }, func(o *Options) { o.Deadline = 0 },
	} {
		o := options
		change(&o)
		if o.Check() == nil {
			t.Errorf("change %d is accepted", i)
		}
	}
}
