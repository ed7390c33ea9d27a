package schedule

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// known returns a cluster that has seen 60 runs of queue "q", which took a time and had an
// estimate.
func known(t *testing.T, hosts int, took, estimate time.Duration) *cluster {
	c := learningCluster(t, hosts)
	c.queue(cell.Queue{Name: "first", Priority: 1, Stretch: 2, Latency: time.Second})
	c.takes = func(id cell.TaskID, estimate time.Duration) time.Duration {
		if c.jobs[id.Submission].Queue.Name == "q" && !strings.HasPrefix(id.Submission, "odd") {
			return took
		}
		return estimate
	}
	c.runMany(60, func(int) cell.Step { return single(estimate) })
	return c
}

// waitOfGangBeside returns how long a gang on two hosts waits, one of which is busy for 2 s,
// while a small task of queue "q" arrives, and whether that task has started before it.
func (c *cluster) waitOfGangBeside(t *testing.T, estimate time.Duration) (waited time.Duration, smallFirst bool) {
	c.advanceFor(10 * time.Second)
	c.submit("busy", "first", "b", hostSized(1, 2*time.Second))
	c.advance(50 * time.Millisecond)
	submitted := c.now
	c.submit("gang", "first", "b", hostSized(2, time.Second))
	c.advance(50 * time.Millisecond)
	c.submit("small", "q", "a", single(estimate))
	for range 200 {
		c.advance(50 * time.Millisecond)
		smallFirst = smallFirst || c.running("small") > 0
		if c.running("gang") > 0 {
			checkViolations(t, c)
			return c.now - submitted, smallFirst
		}
	}
	t.Fatal("the gang has not started in 10 s")
	return 0, false
}

// Guards against a task that takes longer than its estimate in room that is reserved for a
// gang, which then starts later than planned.
func TestReservationIsKeptWhereTheEstimateBreaksIt(t *testing.T) {
	c := known(t, 2, 3*time.Second, time.Second)
	c.s.learning = nil
	byEstimate, first := c.waitOfGangBeside(t, time.Second)
	if !first || byEstimate < 2800*time.Millisecond {
		t.Fatalf("by the estimate, the gang waited %s, and the small task was first: %t; the test shows nothing", byEstimate, first)
	}
	c = known(t, 2, 3*time.Second, time.Second)
	waited, first := c.waitOfGangBeside(t, time.Second)
	if first || waited > 2200*time.Millisecond {
		t.Errorf("the gang waited %s, want 2 s; the small task was first: %t", waited, first)
	}
}

// Guards against room that stays unused before a gang, since the estimate of a short task is
// too long, and against a decision of this kind that is not logged.
func TestShortTaskFillsRoomBeforeAGangDespiteALongEstimate(t *testing.T) {
	c := known(t, 2, 500*time.Millisecond, 4*time.Second)
	c.queue(cell.Queue{Name: "q", Priority: 1, Stretch: 2, Latency: 10 * time.Second}) // the gang comes first
	c.s.TakeLogMessages()
	waited, first := c.waitOfGangBeside(t, 4*time.Second)
	if !first || waited > 2200*time.Millisecond {
		t.Errorf("the gang waited %s, want 2 s; the small task was first: %t", waited, first)
	}
	if logged := c.messagesWith("A task starts in room that is reserved"); logged != 1 {
		t.Errorf("the decision was logged %d times, want once", logged)
	}
}

// messagesWith returns how many new log messages begin with a text.
func (c *cluster) messagesWith(prefix string) (n int) {
	for _, m := range c.s.TakeLogMessages() {
		if strings.HasPrefix(m.Text, prefix) {
			n++
		}
	}
	return n
}

// Guards against a message for each decision that learned run times have changed.
func TestMessagesAboutLearnedRunTimesAreRateLimited(t *testing.T) {
	c := known(t, 2, 2*time.Second, 8*time.Second)
	c.advanceFor(learnedLogInterval)
	c.s.TakeLogMessages()
	for range 50 {
		c.anyJob(single(8 * time.Second))
	}
	if logged := c.messagesWith("The objective follows from learned run times"); logged != 1 {
		t.Errorf("the objectives of 50 submissions were logged %d times, want once", logged)
	}
}

// Guards against gangs that wait longer for their room with learned run times than by
// estimates, in a replay of the utility: single tasks of 6.9 cores that take 2.0 s at the
// median and 4.3 s at the 90th percentile, estimates off by 90 %, and a full cell.
func TestGangsWaitLessInAReplayWithWrongEstimates(t *testing.T) {
	byEstimate, learned := replayGangs(t, false), replayGangs(t, true)
	a, b := byEstimate[len(byEstimate)/2], learned[len(learned)/2]
	t.Logf("waits by estimates: median %s of %d; learned: median %s of %d", a, len(byEstimate), b, len(learned))
	if b > a || len(learned) < len(byEstimate) {
		t.Errorf("with learned run times, %d gangs started after %s at the median; by estimates, %d after %s", len(learned), b, len(byEstimate), a)
	}
}

// replayGangs keeps a cell of 8 hosts full of single tasks, and submits a gang that needs half
// of the hosts every 10 s. It returns the waits of the gangs, sorted.
func replayGangs(t *testing.T, learn bool) (waits []time.Duration) {
	clusterFeatures.LearnRunTimes = learn
	defer func() { clusterFeatures = Features{} }()
	c := newCluster(8, resource.Vector{MilliCPU: 64_000, MemoryMiB: 256_000})
	c.teams["a"] = cell.Team{Name: "a", Weight: 100_000}
	c.queue(cell.Queue{Name: "wide", Priority: 1, Stretch: 2, Latency: 5 * time.Second})
	c.queue(cell.Queue{Name: "many", Priority: 2, Stretch: 100, Latency: time.Hour})
	r := rand.New(rand.NewPCG(3, 4))
	took := make(map[cell.TaskID]time.Duration)
	c.takes = func(id cell.TaskID, estimate time.Duration) time.Duration {
		if d, ok := took[id]; ok {
			return d
		}
		return estimate
	}
	gang, submitted := "", time.Duration(0)
	for i := range 2400 {
		for k := range 2 {
			id := fmt.Sprintf("many%d-%d", i, k)
			d := time.Duration(2 * math.Exp(0.58*r.NormFloat64()) * float64(time.Second))
			took[cell.TaskID{Submission: id}] = d
			estimate := time.Duration(float64(d) * math.Pow(1.9, 2*r.Float64()-1))
			c.submit(id, "many", "a", cell.Step{Count: 1, Size: resource.Vector{MilliCPU: 6900, MemoryMiB: 1000}, Estimate: estimate})
		}
		if i%200 == 199 && gang == "" {
			gang, submitted = fmt.Sprintf("gang%d", i), c.now
			c.submit(gang, "wide", "a", cell.Step{Count: 12, Gang: true, Size: resource.Vector{MilliCPU: 18_000, MemoryMiB: 1000}, Estimate: 5 * time.Second})
		}
		c.advance(50 * time.Millisecond)
		if gang != "" && c.running(gang) > 0 {
			waits, gang = append(waits, c.now-submitted), ""
		}
	}
	checkViolations(t, c)
	slices.Sort(waits)
	return waits
}

// Guards against a run that takes many times as long as others of its step and is not copied,
// since its estimate is long, and against copies of usual runs, since theirs is short.
func TestSlowRunsAreToldByLearnedRunTimes(t *testing.T) {
	copied := func(c *cluster, id string, estimate time.Duration) bool {
		step := single(estimate)
		step.AllowCopies = true
		c.submit(id, "q", "a", step)
		for range 200 {
			c.advance(50 * time.Millisecond)
			if c.running(id) > 1 {
				return true
			}
		}
		return false
	}
	c := known(t, 3, 2*time.Second, 10*time.Second)
	usual := c.takes
	c.takes = func(id cell.TaskID, estimate time.Duration) time.Duration {
		if id.Submission == "odd" {
			return 14 * time.Second
		}
		return usual(id, estimate)
	}
	if !copied(c, "odd", 10*time.Second) {
		t.Error("a run of seven times the usual time is not copied within 10 s")
	}
	c = known(t, 3, 4*time.Second, time.Second)
	if copied(c, "usual", time.Second) {
		t.Error("a run that takes the usual time is copied")
	}
}

// Guards against a gang that takes the fastest hosts although its slowest one decides when it
// ends, and against one that takes slow hosts without need.
func TestGangPrefersHostsOfOneSpeed(t *testing.T) {
	c := learningCluster(t, 6)
	for i, id := range c.ids() {
		c.s.hosts[id].health.slowness = []float64{0.7, 1, 1.7}[i%3]
	}
	for n, want := range map[int]string{2: "[0.7 0.7]", 3: "[0.7 1 1]", 4: "[0.7 0.7 1 1]", 5: "[0.7 1 1 1.7 1.7]"} {
		c.submit(fmt.Sprint("gang", n), "q", "a", hostSized(n, time.Second))
		g := c.s.jobs[fmt.Sprint("gang", n)].groups[0]
		var speeds []float64
		for _, h := range c.s.assignHosts(g, slices.Clone(c.s.sortedHosts), n) {
			speeds = append(speeds, h.health.slowness)
		}
		slices.Sort(speeds)
		if got := fmt.Sprint(speeds); got != want {
			t.Errorf("a gang of %d starts on hosts of slowness %s, want %s", n, got, want)
		}
	}
}

// Guards against work that counts as in time, or as late, by a wrong estimate.
func TestObjectiveAndLaxityFollowLearnedRunTimes(t *testing.T) {
	c := known(t, 2, 2*time.Second, 8*time.Second)
	j := c.anyJob(single(8 * time.Second))
	if got := j.due - j.arrived; got < 4500*time.Millisecond || got > 5500*time.Millisecond {
		t.Errorf("the objective of a task of 2 s is %s, want 2 x 2 s + 1 s", got)
	}
	due, laxity := j.due, c.s.rank(j.groups[0]).laxity
	c.s.SetDesired(c.s.desired)
	if j.due != due || c.s.rank(j.groups[0]).laxity != laxity {
		t.Error("a new desired state changes the objective or the laxity")
	}
	if laxity < 2500*time.Millisecond || laxity > 3500*time.Millisecond {
		t.Errorf("the laxity is %s, want 3 s", laxity)
	}
}
