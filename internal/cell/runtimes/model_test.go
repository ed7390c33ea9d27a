package runtimes

import (
	"math"
	"testing"
	"time"
)

// Guards against expectations that stay at estimates that are off by 90 %, and against wrong
// quantiles.
func TestExpectationConvergesWhileEstimatesAreOff(t *testing.T) {
	m, r := New(Options{}), seeded()
	observeMany(m, 400, func(int) (took, estimate time.Duration) {
		took = reconciliation(r)
		return took, off(r, 2*time.Second, 0.9)
	})
	e := m.Expect(testKey, 9*time.Second, 1)
	near(t, "the median", e.Median, 2*time.Second, 0.15)
	near(t, "the 90 % quantile", e.P90, 4200*time.Millisecond, 0.2)
	near(t, "the 99 % quantile", e.P99, 7700*time.Millisecond, 0.35)
	if e.Samples < 2*windowSize {
		t.Errorf("the quantiles are derived from %d runs, want at least %d", e.Samples, 2*windowSize)
	}
	if x := m.Explain()[0]; x.Error >= x.EstimateError {
		t.Errorf("the error of the median is %.2f, that of the estimate %.2f", x.Error, x.EstimateError)
	}
}

// Guards against a model that ignores estimates which tell small tasks from large ones.
func TestRatioToEstimateIsUsedIfItPredictsBetter(t *testing.T) {
	m, r := New(Options{}), seeded()
	observeMany(m, 300, func(int) (took, estimate time.Duration) {
		estimate = time.Duration(1+r.IntN(20)) * time.Second
		return off(r, 2*estimate, 0.2), estimate // callers state half of it
	})
	near(t, "the median of a task with an estimate of 1 s", m.Expect(testKey, time.Second, 1).Median, 2*time.Second, 0.1)
	near(t, "the median of a task with an estimate of 20 s", m.Expect(testKey, 20*time.Second, 1).Median, 40*time.Second, 0.1)
}

// Guards against a model that goes on expecting what was before a change.
func TestChangeOfTheDistributionShowsWithinSomeHundredRuns(t *testing.T) {
	m, r := New(Options{}), seeded()
	observeMany(m, 1000, func(int) (took, estimate time.Duration) { return off(r, 2*time.Second, 0.3), 2 * time.Second })
	observeMany(m, 150, func(int) (took, estimate time.Duration) { return off(r, 6*time.Second, 0.3), 2 * time.Second })
	near(t, "the median 150 runs after the change", m.Expect(testKey, 2*time.Second, 1).Median, 6*time.Second, 0.15)
}

// Guards against a bias to short runs: those that are stopped are mostly long.
func TestStoppedRunsDoNotShortenTheExpectation(t *testing.T) {
	m, finished, r := New(Options{}), New(Options{}), seeded()
	for i := range 2000 {
		took, limit := reconciliation(r), time.Duration(1+r.IntN(6))*time.Second
		run := Run{Took: min(took, limit), Estimate: time.Second, HostSpeed: 1, Host: hostName(i % 100)}
		m.Observe(testKey, run, took > limit)
		if took <= limit {
			finished.Observe(testKey, run, false)
		}
	}
	e, biased := m.Expect(testKey, time.Second, 1), finished.Expect(testKey, time.Second, 1)
	near(t, "the median", e.Median, 2*time.Second, 0.15)
	near(t, "the 90 % quantile", e.P90, 4200*time.Millisecond, 0.25)
	if biased.P90 >= e.P90 || biased.Median >= e.Median {
		t.Errorf("with the stopped runs, the expectation is %+v, without them %+v", e, biased)
	}
}

// Guards against expectations that are derived from very few runs, or from none.
func TestEstimateIsUsedOnAColdStart(t *testing.T) {
	m := New(Options{})
	if got := m.Expect(testKey, 3*time.Second, 1); got != Exactly(3*time.Second) {
		t.Errorf("without runs, the expectation is %+v", got)
	}
	if got := m.Expect(testKey, 3*time.Second, 0.5); got != Exactly(6*time.Second) {
		t.Errorf("without runs, the expectation on a host of half the speed is %+v", got)
	}
	m.Observe(testKey, Run{Took: time.Minute, Estimate: time.Second, HostSpeed: 1, Host: "h"}, true)
	observeMany(m, minSamples-1, func(int) (took, estimate time.Duration) { return time.Minute, time.Second })
	if got := m.Expect(testKey, 3*time.Second, 1); got != Exactly(3*time.Second) {
		t.Errorf("with %d runs, the expectation is %+v", minSamples-1, got)
	}
	if got := m.Remaining(testKey, 3*time.Second, 1, 2*time.Second).Median; got != time.Second {
		t.Errorf("2 s after its start, a run with an estimate of 3 s is expected to take %s more", got)
	}
	if got := m.Remaining(testKey, 3*time.Second, 1, 5*time.Second).Median; got != 2*time.Second {
		t.Errorf("5 s after its start, a run with an estimate of 3 s is expected to take %s more", got)
	}
}

// Guards against a mean over hosts of different speeds, which is right for none of them.
func TestExpectationFollowsTheSpeedOfTheHost(t *testing.T) {
	m, r := New(Options{}), seeded()
	factors := []float64{0.7, 0.7, 1.7}
	for i := range 400 {
		f := factors[i%3]
		took := time.Duration(float64(off(r, 5300*time.Millisecond, 0.2)) * f)
		m.Observe(testKey, Run{Took: took, Estimate: 5 * time.Second, HostSpeed: 1 / f, Host: hostName(i % 90)}, false)
	}
	for _, f := range factors {
		near(t, "the median", m.Expect(testKey, 5*time.Second, 1/f).Median, time.Duration(5.3*f*float64(time.Second)), 0.1)
	}
}

// Guards against a host that ends its runs at once, or reports ends hours late, and so moves
// the expectation for all.
func TestHostThatReportsFalseEndsHardlyMovesTheExpectation(t *testing.T) {
	for name, reported := range map[string]time.Duration{"at once": time.Millisecond, "late": 5 * time.Hour} {
		m, r := New(Options{}), seeded()
		for i := range 1000 {
			m.Observe(testKey, Run{Took: reconciliation(r), Estimate: time.Second, HostSpeed: 1, Host: hostName(i % 50)}, false)
			for range 5 { // it gets most of the work, since it is always free
				m.Observe(testKey, Run{Took: reported, Estimate: time.Second, HostSpeed: math.Inf(1), Host: "false"}, false)
			}
		}
		near(t, "the median beside a host that reports ends "+name, m.Expect(testKey, time.Second, 1).Median, 2*time.Second, 0.2)
	}
}

// Guards against a key that is no longer learned once its work moves to fewer hosts.
func TestLearningGoesOnOnFewerHosts(t *testing.T) {
	for _, c := range []struct{ before, after int }{{24, 6}, {24, 1}, {3, 1}} {
		m := New(Options{})
		for i := range 240 {
			m.Observe(testKey, Run{Took: time.Second, Estimate: time.Second, HostSpeed: 1, Host: hostName(i % c.before)}, false)
		}
		for i := range 400 {
			m.Observe(testKey, Run{Took: 5 * time.Second, Estimate: time.Second, HostSpeed: 1, Host: hostName(i % c.after)}, false)
		}
		near(t, "the median after the move of the work", m.Expect(testKey, time.Second, 1).Median, 5*time.Second, 0.1)
	}
}

// Guards against stopped runs that say nothing and use up the shares of their hosts.
func TestRunThatIsNotRecordedTakesNoShare(t *testing.T) {
	m := New(Options{})
	run := func(host int, took time.Duration, censored bool) bool {
		return m.Observe(testKey, Run{Took: took, Estimate: time.Second, HostSpeed: 1, Host: hostName(host)}, censored)
	}
	for i := range 2 * shareWindow {
		if !run(i%24, time.Second, false) {
			t.Fatalf("run %d was not recorded", i)
		}
	}
	for i := range 4 * shareWindow {
		if run(i%8, time.Millisecond, true) {
			t.Fatal("a lower bound that every run exceeds was recorded")
		}
	}
	if x := m.Explain()[0]; x.Dropped != 0 || x.Censored != 4*shareWindow {
		t.Errorf("%d runs were dropped and %d counted as censored, want 0 and %d", x.Dropped, x.Censored, 4*shareWindow)
	}
	for i := range 24 {
		if !run(i, time.Second, false) {
			t.Errorf("run %d after them was not recorded", i)
		}
	}
	if !run(30, 2*time.Second, true) {
		t.Error("a lower bound that says something was not recorded")
	}
}

// Guards against keys without bound, and against the loss of those in use.
func TestLeastRecentlyUsedKeyIsRemoved(t *testing.T) {
	m := New(Options{MaxKeys: 4})
	for step := range 100 {
		for range minSamples {
			m.Observe(Key{"q", step}, Run{Took: time.Second, HostSpeed: 1, Host: "h"}, false)
		}
		m.Expect(Key{"q", 0}, time.Minute, 1)
	}
	if n := len(m.Explain()); n != 4 {
		t.Errorf("%d keys are kept, want 4", n)
	}
	if m.Expect(Key{"q", 0}, time.Minute, 1).Samples == 0 {
		t.Error("a key that is used all the time was removed")
	}
}

// Guards against keys with one run each that replace those that are learned, if more keys are
// in use than are kept.
func TestNewKeysDoNotReplaceLearnedOnes(t *testing.T) {
	const kept, used = 64, 80
	m := New(Options{MaxKeys: kept})
	observe := func(step, runs int) {
		for range runs {
			m.Observe(Key{"q", step}, Run{Took: time.Second, Estimate: 5 * time.Second, HostSpeed: 1, Host: "h"}, false)
		}
	}
	for step := range kept - 1 {
		observe(step, minSamples)
	}
	for range 20 {
		for step := range used {
			observe(step, 1)
		}
	}
	known := 0
	for step := range used {
		if m.Expect(Key{"q", step}, 5*time.Second, 1).Samples > 0 {
			known++
		}
	}
	if known < kept-1 {
		t.Errorf("%d keys are known, want at least %d", known, kept-1)
	}
	if n := m.Totals().Evicted; n == 0 {
		t.Error("no evicted key was counted")
	}
}

// Guards against keys that are used in turn and evict each other before any is learned.
func TestMoreKeysThanAreKeptAreLearnedFromAColdStart(t *testing.T) {
	for _, used := range []int{520, 600, 1000} {
		m := New(Options{})
		for range 60 {
			for step := range used {
				m.Observe(Key{"q", step}, Run{Took: time.Second, Estimate: 5 * time.Second, HostSpeed: 1, Host: "h"}, false)
			}
		}
		known := 0
		for step := range used {
			if m.Expect(Key{"q", step}, 5*time.Second, 1).Samples > 0 {
				known++
			}
		}
		if known < DefaultMaxKeys/2 {
			t.Errorf("of %d keys that were used in turn, %d are known, want at least %d", used, known, DefaultMaxKeys/2)
		}
		t.Logf("%d of %d keys are known", known, used)
	}
}

// Guards against values that are no durations.
func TestOddRunsAreHarmless(t *testing.T) {
	m := New(Options{})
	for _, took := range []time.Duration{math.MinInt64, -1, 0, 1, math.MaxInt64} {
		for _, estimate := range []time.Duration{math.MinInt64, 0, 1, math.MaxInt64} {
			for _, speed := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0, 1e-300} {
				for _, censored := range []bool{false, true} {
					m.Observe(testKey, Run{Took: took, Estimate: estimate, HostSpeed: speed, Host: "h"}, censored)
				}
				for _, e := range []Expectation{m.Expect(testKey, estimate, speed), m.Remaining(testKey, estimate, speed, took)} {
					if e.Median < 0 || e.P90 < e.Median || e.P99 < e.P90 || e.P99 > maxExpectation && e.Samples > 0 {
						t.Fatalf("the expectation is %+v", e)
					}
				}
			}
		}
	}
}

// Guards against a run that has taken long and is expected to end at once, or sooner than
// any that took as long.
func TestRemainingTimeFollowsTheTail(t *testing.T) {
	m, r := New(Options{}), seeded()
	observeMany(m, 400, func(i int) (took, estimate time.Duration) {
		took = off(r, 2*time.Second, 0.2)
		if i%33 == 0 {
			took *= 7 // 3 % take seven times as long
		}
		return took, 2 * time.Second
	})
	near(t, "the rest of a run of 1 s", m.Remaining(testKey, time.Second, 1, time.Second).Median, time.Second, 0.15)
	if got := m.Remaining(testKey, time.Second, 1, 4*time.Second).Median; got < 7*time.Second {
		t.Errorf("a run that has taken twice the usual time is expected to take %s more", got)
	}
	if got := m.Remaining(testKey, time.Second, 1, 60*time.Second).Median; got < 30*time.Second {
		t.Errorf("a run that has taken far longer than any other is expected to take %s more", got)
	}
}

// Guards against expectations that are too costly for each host and group of a decision.
func TestExpectationsAllocateNothing(t *testing.T) {
	m, r := New(Options{}), seeded()
	observeMany(m, 400, func(int) (took, estimate time.Duration) { return reconciliation(r), time.Second })
	m.Expect(testKey, time.Second, 1)
	if n := testing.AllocsPerRun(100, func() {
		m.Expect(testKey, time.Second, 0.7)
		m.Remaining(testKey, time.Second, 0.7, time.Second)
	}); n > 0 {
		t.Errorf("an expectation makes %.0f allocations", n)
	}
}

func BenchmarkExpect(b *testing.B) {
	m, r := New(Options{}), seeded()
	observeMany(m, 400, func(int) (took, estimate time.Duration) { return reconciliation(r), time.Second })
	for b.Loop() {
		m.Expect(testKey, time.Second, 0.7)
	}
}

func BenchmarkRemaining(b *testing.B) {
	m, r := New(Options{}), seeded()
	observeMany(m, 400, func(int) (took, estimate time.Duration) { return reconciliation(r), time.Second })
	for b.Loop() {
		m.Remaining(testKey, time.Second, 0.7, time.Second)
	}
}

func BenchmarkObserveAndExpect(b *testing.B) {
	m, r := New(Options{}), seeded()
	for i := 0; b.Loop(); i++ {
		m.Observe(testKey, Run{Took: reconciliation(r), Estimate: time.Second, HostSpeed: 1, Host: hostName(i % 100)}, false)
		m.Expect(testKey, time.Second, 1)
	}
}
