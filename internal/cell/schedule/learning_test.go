package schedule

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/runtimes"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// withLearning sets the feature for the clusters of a test.
func withLearning(t *testing.T) {
	clusterFeatures.LearnRunTimes = true
	t.Cleanup(func() { clusterFeatures = Features{} })
}

// learningCluster returns a cluster with the feature and a queue "q".
func learningCluster(t *testing.T, hosts int) *cluster {
	withLearning(t)
	c := newCluster(hosts, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
	c.teams["a"] = cell.Team{Name: "a", Weight: 10_000}
	c.queue(cell.Queue{Name: "q", Priority: 1, Stretch: 2, Latency: time.Second})
	return c
}

// observed returns what has been learned of the first step of queue "q".
func (c *cluster) observed() runtimes.Entry {
	for _, e := range c.s.Dump().RunTimes {
		if e.Queue == "q" && e.Step == 0 {
			return e
		}
	}
	return runtimes.Entry{}
}

// runMany runs n submissions of a step, a few at a time.
func (c *cluster) runMany(n int, step func(i int) cell.Step) {
	for i := range n {
		c.submit(fmt.Sprintf("learn%d-%d", len(c.jobs), i), "q", "a", step(i))
		c.advance(50 * time.Millisecond)
	}
	c.stepUntilFinished(2000, 50*time.Millisecond)
}

func single(estimate time.Duration) cell.Step { return smallStep(1, estimate) }

// Guards against the random faults of TestRulesHoldUnderFaults breaking a rule while run
// times are learned.
func TestRulesHoldUnderFaultsWithLearnedRunTimes(t *testing.T) {
	withLearning(t)
	TestRulesHoldUnderFaults(t)
}

// Guards against runs that are learned although they say little about the duration of the
// task: failed, resumed and adopted ones, and those that make no progress.
func TestRunsThatDoNotMeasureTheTaskAreNotLearned(t *testing.T) {
	t.Run("failed", func(t *testing.T) {
		c := learningCluster(t, 2)
		c.fails = func(cell.TaskID, int64) bool { return true }
		c.submit("x", "q", "a", single(time.Second))
		c.advanceFor(5 * time.Second)
		if e := c.observed(); e.Observed+e.Censored > 0 {
			t.Errorf("failed runs were learned: %+v", e)
		}
	})
	t.Run("adopted", func(t *testing.T) {
		c := learningCluster(t, 2)
		c.submit("x", "q", "a", single(4*time.Second))
		c.advanceFor(2 * time.Second)
		c.replaceOwner()
		c.advanceFor(5 * time.Second)
		if e := c.observed(); c.state["x"] != cell.Completed || e.Observed+e.Censored > 0 {
			t.Errorf("the submission is %s, and its run was learned as that of the successor: %+v", c.state["x"], e)
		}
	})
	t.Run("resumed", func(t *testing.T) {
		c := learningCluster(t, 2)
		step := single(4 * time.Second)
		step.Checkpoints = true
		c.submit("x", "q", "a", step)
		c.s.recordCheckpoint(c.s.jobs["x"].groups[0].tasks[0], "half")
		c.advanceFor(6 * time.Second)
		if e := c.observed(); c.state["x"] != cell.Completed || e.Observed+e.Censored > 0 {
			t.Errorf("the submission is %s, and a run from a checkpoint was learned: %+v", c.state["x"], e)
		}
	})
	t.Run("hung", func(t *testing.T) {
		c := learningCluster(t, 2)
		c.runMany(20, func(int) cell.Step { return single(time.Second) })
		want := c.observed()
		c.idle = func(id cell.TaskID) bool { return id.Submission == "idle" }
		c.submit("busy", "q", "a", single(time.Hour))
		c.submit("idle", "q", "a", single(time.Hour))
		c.advanceFor(20 * time.Second)
		if got := c.observed(); got.Observed != want.Observed || got.Censored != want.Censored {
			t.Errorf("runs that were stopped since they made no progress were learned: %+v, before %+v", got, want)
		}
	})
}

// Guards against stopped runs that count as ended, or not at all.
func TestStoppedRunIsLearnedAsALowerBound(t *testing.T) {
	c := learningCluster(t, 2)
	c.runMany(20, func(int) cell.Step { return single(time.Second) })
	want := c.observed()
	c.submit("x", "q", "a", single(time.Hour))
	c.advanceFor(2 * time.Second)
	c.s.Cancel("x", c.now)
	c.advanceFor(2 * time.Second)
	if got := c.observed(); got.Observed != want.Observed || got.Censored != want.Censored+1 {
		t.Errorf("after a stop, %d runs ended and %d are lower bounds, before %d and %d", got.Observed, got.Censored, want.Observed, want.Censored)
	}
}

// Guards against an end that a host reports long after it was, since it did not answer, and
// that is learned as a long run.
func TestEndThatIsReportedLateIsALowerBound(t *testing.T) {
	c := learningCluster(t, 1)
	c.runMany(20, func(int) cell.Step { return single(time.Second) })
	want := c.observed()
	c.submit("x", "q", "a", single(time.Second))
	c.advanceFor(500 * time.Millisecond)
	c.hosts["h00"].unreachable = true
	c.advanceFor(20 * time.Second)
	c.hosts["h00"].unreachable = false
	c.advanceFor(time.Second)
	got := c.observed()
	if c.state["x"] != cell.Completed || got.Observed != want.Observed || got.MedianMs > 1.2*want.MedianMs || got.P99Ms > 2*want.P99Ms {
		t.Errorf("the submission is %s; learned %+v, before %+v", c.state["x"], got, want)
	}
}

// Guards against a gang that counts once for each member, and against the wait for its last
// member counting as a part of the run.
func TestGangIsLearnedOnceFromItsLastStart(t *testing.T) {
	c := learningCluster(t, 4)
	c.submit("g", "q", "a", cell.Step{Count: 4, Gang: true, MaxPerHost: 1, Size: resource.Vector{MilliCPU: 4000, MemoryMiB: 100}, Estimate: 4 * time.Second})
	refused := false
	c.now += 50 * time.Millisecond
	c.decide(func(o Start) int {
		if o.Task.Index == 3 && !refused {
			refused = true
			return 3
		}
		return 0
	})
	c.advanceFor(1200 * time.Millisecond)
	c.decide(nil)
	c.advanceFor(10 * time.Second)
	e := c.observed()
	if c.state["g"] != cell.Completed || e.Observed != 1 {
		t.Fatalf("the gang is %s and was learned %d times, want once", c.state["g"], e.Observed)
	}
	if !refused || math.Abs(e.MedianMs-4000) > 350 {
		t.Errorf("the gang was learned to take %.0f ms, want 4000", e.MedianMs)
	}
}

// Guards against hosts that count as slow or fast since the estimates of what runs there are
// wrong, and against hosts of different speed that are not told apart.
func TestSpeedOfHostsIsMeasuredDespiteWrongEstimates(t *testing.T) {
	c := learningCluster(t, 6)
	r := rand.New(rand.NewPCG(1, 2))
	factor := func(host string) float64 { return []float64{0.7, 0.7, 1.7}[int(host[2]-'0')%3] }
	c.takes = func(id cell.TaskID, _ time.Duration) time.Duration {
		host := c.startsOn
		return time.Duration(2 * factor(host) * (0.8 + 0.4*r.Float64()) * float64(time.Second))
	}
	c.runMany(600, func(int) cell.Step {
		return single(time.Duration(math.Pow(1.9, 2*r.Float64()-1) * 4 * float64(time.Second)))
	})
	fast, slow := c.s.hosts["h00"].health.slowness, c.s.hosts["h02"].health.slowness
	if ratio := slow / fast; ratio < 1.9 || ratio > 3.1 {
		t.Errorf("a host at 1.7 times the usual time counts as %.2f, one at 0.7 times as %.2f", slow, fast)
	}
	g := c.s.newGroup(c.anyJob(single(time.Second)), 0, 0)
	for _, id := range []string{"h01", "h02"} {
		want := 2 * factor(id)
		if got := c.s.expected(g, c.s.hosts[id]).Median.Seconds(); math.Abs(got/want-1) > 0.25 {
			t.Errorf("on host %s, %.2f s are expected, want %.2f s", id, got, want)
		}
	}
}

// anyJob adds a submission of a step and returns its job.
func (c *cluster) anyJob(step cell.Step) *job {
	id := fmt.Sprintf("any%d", len(c.jobs))
	c.submit(id, "q", "a", step)
	return c.s.jobs[id]
}

// Guards against a host whose speed leaves its bounds, and against one run that makes a host
// slow.
func TestSpeedOfAHostIsBounded(t *testing.T) {
	var p hostSpeed
	for range 20 {
		p.add(1)
	}
	p.add(7)
	if got := math.Exp(p.logSlowness); got > 1.05 {
		t.Errorf("after one run of seven times the usual time, the slowness is %.2f", got)
	}
	for range 12 {
		p.add(1.7)
	}
	if got := math.Exp(p.logSlowness); got < 1.25 {
		t.Errorf("12 runs after it became slow, the slowness is %.2f, want about half of the way to 1.7", got)
	}
	for range 1000 {
		p.add(1e9)
	}
	if got := math.Exp(p.logSlowness); got > 4.01 {
		t.Errorf("the slowness is %.2f", got)
	}
	for range 1000 {
		p.add(1e-9)
	}
	if got := math.Exp(p.logSlowness); got < 0.249 {
		t.Errorf("the slowness is %.3f", got)
	}
}

// Guards against a successor that starts from the estimates and from hosts of equal speed.
func TestSuccessorRestoresWhatWasLearned(t *testing.T) {
	c := learningCluster(t, 3)
	c.takes = func(cell.TaskID, time.Duration) time.Duration {
		if c.startsOn == "h02" {
			return 4 * time.Second
		}
		return 2 * time.Second
	}
	c.runMany(150, func(int) cell.Step { return single(8 * time.Second) })
	want, slowness := c.observed(), c.s.hosts["h02"].health.slowness
	c.replaceOwner()
	got := c.observed()
	if got.MedianMs != want.MedianMs || got.P99Ms != want.P99Ms || got.Samples != want.Samples {
		t.Errorf("the successor has %+v, its predecessor had %+v", got, want)
	}
	if restored := c.s.hosts["h02"].health.slowness; math.Abs(restored-slowness) > 0.02 || slowness < 1.3 {
		t.Errorf("the slowness of a host is %.2f, for the predecessor it was %.2f", restored, slowness)
	}
	j := c.anyJob(single(8 * time.Second))
	if got := j.due - j.arrived; got > 7*time.Second {
		t.Errorf("the objective of a task of 2 s with an estimate of 8 s is %s", got)
	}
}

// Guards against an owner that fails at a malformed record of run times, or takes a part.
func TestMalformedRecordOfRunTimesIsIgnored(t *testing.T) {
	c := learningCluster(t, 2)
	c.runMany(20, func(int) cell.Step { return single(time.Second) })
	want := c.observed()
	for _, data := range []string{"{", "null", "{}", `{"model":{"version":2}}`, `{"model":null}`, `{"hosts":{"h00":9}}`, `{"model":{"version":1,"keys":[{"times":[1]}]},"hosts":{"h00":9}}`, strings.Repeat("x", runtimes.MaxSnapshotBytes+1)} {
		if err := c.s.RestoreRunTimes([]byte(data)); err == nil {
			t.Errorf("a malformed record is taken over: %.60q", data)
		}
	}
	if got := c.observed(); got != want || c.s.hosts["h00"].health.slowness > 2 {
		t.Errorf("after malformed records, %+v is learned, want %+v", got, want)
	}
	if err := c.s.RestoreRunTimes([]byte(`{"model":{"version":1,"keys":[]},"hosts":{"h00":1e300,"h01":-1,"":0}}`)); err != nil {
		t.Error(err)
	}
	for _, h := range c.s.sortedHosts {
		if h.health.slowness < 0.2 || h.health.slowness > 5 {
			t.Errorf("the slowness of host %s is %g", h.spec.ID, h.health.slowness)
		}
	}
}

// Guards against records of run times that are stored again without news, and against any
// Guards against records of run times that are stored although nothing new was recorded.
func TestRunThatIsNotRecordedIsNoNews(t *testing.T) {
	c := learningCluster(t, 2)
	c.runMany(20, func(int) cell.Step { return single(time.Second) })
	if c.s.RunTimes() == nil {
		t.Fatal("runs that ended are not stored")
	}
	want := c.observed()
	c.submit("x", "q", "a", single(time.Hour))
	c.advanceFor(200 * time.Millisecond)
	c.s.Cancel("x", c.now)
	c.advanceFor(time.Second)
	if got := c.observed(); got.Censored != want.Censored+1 || got.Samples != want.Samples {
		t.Fatalf("after a run that was stopped early, the key is %+v, before %+v", got, want)
	}
	if c.s.RunTimes() != nil {
		t.Error("run times are stored again after a run that says nothing")
	}
}

// learning while the feature is off.
func TestRunTimesAreStoredOnlyAfterNews(t *testing.T) {
	c := learningCluster(t, 2)
	if c.s.RunTimes() != nil {
		t.Error("run times are stored before any run has ended")
	}
	c.runMany(3, func(int) cell.Step { return single(time.Second) })
	if first := c.s.RunTimes(); !bytes.Contains(first, []byte(`"queue":"q"`)) || c.s.RunTimes() != nil {
		t.Errorf("the run times are stored as %q, or twice", first)
	}
	clusterFeatures = Features{}
	c = newCluster(2, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
	c.queue(cell.Queue{Name: "q", Priority: 1, Stretch: 2, Latency: time.Second})
	c.runMany(3, func(int) cell.Step { return single(time.Second) })
	if c.s.RunTimes() != nil || c.s.RestoreRunTimes([]byte("{")) != nil || c.s.Dump().RunTimes != nil {
		t.Error("run times are learned, stored or taken over while the feature is off")
	}
}
