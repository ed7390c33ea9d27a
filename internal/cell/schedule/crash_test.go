package schedule

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/crash"
	"github.com/medlarpulley/medlarpulley/internal/cell/trial"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// crashDowntime is how long a crashed host is away.
const crashDowntime = 3300 * time.Millisecond

// crash ends the process of a host, which is back after crashDowntime.
func (c *cluster) crash(id string) {
	h := c.hosts[id]
	if h.downUntil != 0 {
		return
	}
	if h.unreachable {
		c.crashSilently(id)
		return
	}
	h.unreachable, h.downUntil = true, c.now+crashDowntime
	for _, r := range h.runs {
		c.crashesUnder[r.task]++
	}
	h.runs, h.ended = nil, nil
	c.s.MarkCrashed(id, c.now, c.now)
	c.s.MarkUnreachable(id)
}

// crashSilently cuts a host off whose process ends behind the cut. It is back as another
// instance after crashDowntime.
func (c *cluster) crashSilently(id string) {
	h := c.hosts[id]
	if h.downUntil != 0 {
		return
	}
	h.unreachable, h.downUntil = true, c.now+crashDowntime
	h.runs, h.ended = nil, nil
	c.s.MarkSilent(id)
	c.s.MarkUnreachable(id)
}

// restartCrashed brings back the crashed hosts whose time has come.
func (c *cluster) restartCrashed() {
	for _, id := range c.ids() {
		if h := c.hosts[id]; h.downUntil != 0 && c.now >= h.downUntil {
			h.downUntil = 0
			c.restart(id)
		}
	}
}

func isDeadly(t cell.TaskID) bool { return strings.HasPrefix(t.Submission, "deadly") }

func crashCluster(hosts int) *cluster {
	c := newCluster(hosts, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
	c.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second, MaxAttempts: 3})
	c.deadly = isDeadly
	return c
}

func smallStep(count int, estimate time.Duration) cell.Step {
	return cell.Step{Count: count, Size: resource.Vector{MilliCPU: 1400, MemoryMiB: 1024}, Estimate: estimate}
}

// checkCrashes checks what a task that crashes its hosts may cost: its submission is
// given up, it does not start three times after its third crash, and no other
// submission fails.
func checkCrashes(t rapid.TB, c *cluster) {
	for id := range c.jobs {
		want := cell.Completed
		if strings.HasPrefix(id, "deadly") {
			want = cell.Failed
		}
		if c.state[id] != want {
			t.Errorf("%s is %s, want %s", id, c.state[id], want)
		}
	}
	for id, n := range c.startsAfter {
		if n >= 3 {
			t.Errorf("%s was started %d times after three hosts had crashed under it", id, n)
		}
	}
	for _, v := range c.violations {
		t.Error(v)
	}
}

// Guards against a task that crashes host after host: its runs were lost without an
// outcome, so it was started again without bound, and with it whatever had run beside
// it.
func TestTaskThatCrashesItsHostsIsGivenUp(t *testing.T) {
	for _, gang := range []bool{false, true} {
		c := crashCluster(8)
		for i := range 20 {
			c.submit(fmt.Sprintf("sound%02d", i), "q", "a", smallStep(3, 2*time.Second))
		}
		c.advance(time.Second)
		step := smallStep(3, time.Second)
		step.Gang = gang
		c.submit("deadly", "q", "b", step)
		if !c.stepUntilFinished(400, 100*time.Millisecond) {
			t.Errorf("gang %t: submissions are open after 40 s", gang)
		}
		checkCrashes(t, c)
		for id, n := range c.crashes {
			if n > crash.CrashesToFail {
				t.Errorf("gang %t: %s crashed %d hosts, want %d at most", gang, id, n, crash.CrashesToFail)
			}
		}
	}
}

// Guards against sound work beside a suspected task, which would be lost with it, and
// against suspected tasks that hold more hosts than they may while other work waits.
func TestSuspectedTasksRunAloneOnFewHosts(t *testing.T) {
	c := crashCluster(16)
	c.queue(cell.Queue{Name: "other", Stretch: 2, Latency: time.Second, MaxAttempts: 3})
	trials, heldBefore := 0, 0
	waitingSince := make(map[*group]time.Duration)
	for i := range 150 {
		c.submit(fmt.Sprintf("sound%03d", i), "other", "a", smallStep(10, 2*time.Second))
		if i > 20 && i%4 == 0 {
			c.submit(fmt.Sprintf("deadly%03d", i), "q", "b", smallStep(1, time.Second))
		}
		c.advance(100 * time.Millisecond)
		held := 0
		for _, h := range c.s.sortedHosts {
			if h.quarantinedFor == nil {
				continue
			}
			held++
			if h.trial == nil {
				continue
			}
			trials++
			since, waits := waitingSince[h.trial.task.group]
			mayShare := waits && h.trial.orderedAt >= since+trial.MaxIdleHostWait
			for _, a := range h.runs {
				if a.task.group == h.trial.task.group {
					continue
				}
				if a.orderedAt > h.trial.orderedAt-crash.Window {
					t.Fatalf("host %s has another run beside a suspected one that may be the cause of a crash as well", h.spec.ID)
				}
				if !a.alone && !mayShare {
					t.Fatalf("host %s has another run beside a suspected one that has not waited for an empty host", h.spec.ID)
				}
			}
		}
		// More than one in trial.HostsPerTrial may be chosen only if few others are down.
		want := max(len(c.hosts)/trial.HostsPerTrial, len(c.hosts)/trial.HostsPerCrash-c.s.trialCapacity.Crashed)
		if held > want && held > heldBefore || held > len(c.hosts)/trial.HostsPerCrash {
			t.Fatalf("suspected tasks hold %d hosts while other work waits, want %d at most", held, want)
		}
		heldBefore = held
		for _, g := range c.s.groups {
			if g.trialWait.Since != 0 {
				waitingSince[g] = g.trialWait.Since
			}
		}
	}
	if trials == 0 {
		t.Error("no suspected task was tried while other work waited")
	}
	if !c.stepUntilFinished(2000, 100*time.Millisecond) {
		t.Error("submissions are open after 200 s")
	}
	checkCrashes(t, c)
}

// Guards against one kind of work that takes down the hosts of all others: when most
// of its tasks crash their hosts, its new submissions start on few hosts only.
func TestQueueThatCrashesHostsIsConfined(t *testing.T) {
	c := crashCluster(16)
	c.queue(cell.Queue{Name: "other", Stretch: 2, Latency: time.Second, MaxAttempts: 3})
	worst := 0
	for i := range 200 {
		c.submit(fmt.Sprintf("deadly%03d", i), "q", "b", smallStep(2, 500*time.Millisecond))
		if i%4 == 0 {
			c.submit(fmt.Sprintf("sound%03d", i), "other", "a", smallStep(8, 2*time.Second))
		}
		c.advance(100 * time.Millisecond)
		down := 0
		for _, h := range c.hosts {
			if h.downUntil != 0 {
				down++
			}
		}
		if i > 60 { // the first crashes have been confirmed
			worst = max(worst, down)
		}
	}
	if worst > len(c.hosts)/2 {
		t.Errorf("%d of %d hosts are down at one time", worst, len(c.hosts))
	}
	late := 0
	for id := range c.jobs {
		if strings.HasPrefix(id, "sound") && c.state[id] != cell.Completed {
			late++
		}
	}
	if late > 10 {
		t.Errorf("%d of 50 submissions of the other queue are open", late)
	}
	for id, n := range c.startsAfter {
		if n >= 3 {
			t.Errorf("%s was started %d times after three hosts had crashed under it", id, n)
		}
	}
	for _, v := range c.violations {
		t.Error(v)
	}
}

// Guards against sound submissions that fail although fewer than two hosts crashed
// under each of their tasks, while hosts crash by themselves, again and again.
func TestHostsThatCrashByThemselvesFailNoSubmission(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := crashCluster(12)
		for i := range rapid.IntRange(10, 60).Draw(t, "events") {
			step := smallStep(rapid.IntRange(1, 40).Draw(t, "tasks"), time.Duration(rapid.IntRange(300, 3000).Draw(t, "estimate"))*time.Millisecond)
			step.Gang = rapid.Bool().Draw(t, "gang")
			c.submit(fmt.Sprintf("sound%02d", i), "q", "a", step)
			if rapid.IntRange(0, 3).Draw(t, "crash") == 0 {
				c.crash(rapid.SampledFrom(c.ids()).Draw(t, "host"))
			}
			c.advance(time.Duration(rapid.IntRange(50, 900).Draw(t, "ms")) * time.Millisecond)
		}
		if !c.stepUntilFinished(4000, 100*time.Millisecond) {
			t.Error("submissions are open after 400 s")
		}
		most := make(map[string]int)
		for id, n := range c.crashesUnder {
			most[id.Submission] = max(most[id.Submission], n)
		}
		for id := range c.jobs {
			if c.state[id] == cell.Failed && most[id] < 2 {
				t.Errorf("%s failed, though at most %d hosts crashed under each of its tasks", id, most[id])
			}
		}
		for _, v := range c.violations {
			t.Error(v)
		}
	})
}

// Guards against work that is suspected for good since a connection to its host broke.
func TestHostThatAnswersAgainClearsItsRuns(t *testing.T) {
	c := crashCluster(3)
	c.submit("sound", "q", "a", smallStep(6, 2*time.Second))
	c.advance(10 * time.Millisecond)
	j := c.s.jobs["sound"]
	for _, id := range c.ids() {
		c.s.MarkCrashed(id, c.now, c.now)
	}
	if !c.s.underTrial(j) {
		t.Error("runs that started right before their hosts went are not suspected")
	}
	c.advance(100 * time.Millisecond)
	if c.s.underTrial(j) {
		t.Error("runs are suspected although their hosts have not restarted")
	}
	if r := c.s.risk(j); r.Crashes > 0.01 {
		t.Errorf("%.2f crashes are counted for the queue although no host has crashed", r.Crashes)
	}
}

// Guards against a host that leaves, or whose leases expired while it was cut off,
// being taken for one that crashed.
func TestOnlyCrashesAreCounted(t *testing.T) {
	c := crashCluster(3)
	c.submit("sound", "q", "a", smallStep(2, 10*time.Second))
	c.advance(10 * time.Millisecond)
	for id, h := range c.hosts {
		if len(h.runs) == 0 {
			continue
		}
		h.runs, h.unreachable = nil, true
		c.s.MarkUnreachable(id)
		c.s.MarkAllRunsGone(id, c.now)
	}
	if c.s.jobs["sound"].suspected {
		t.Error("runs whose leases expired are suspected")
	}
	c.advance(10 * time.Millisecond)
	var leaving []cell.Host
	for _, id := range c.ids() {
		h := c.hosts[id]
		h.spec.Leaving = len(h.runs) > 0
		leaving = append(leaving, h.spec)
	}
	c.s.SetListedHosts(leaving)
	for id, h := range c.hosts {
		if h.spec.Leaving {
			c.crash(id)
			c.restart(id)
		}
	}
	c.advance(10 * time.Millisecond)
	if c.s.jobs["sound"].suspected {
		t.Error("runs on a host that left are suspected")
	}
}

// Guards against submissions with many tasks that come last of all suspects, since one
// crash is counted against them once for each task.
func TestOneCrashSpeaksOnceAgainstASubmission(t *testing.T) {
	c := crashCluster(1)
	c.submit("three", "q", "a", smallStep(3, time.Minute))
	c.submit("one", "q", "a", smallStep(1, time.Minute))
	c.advance(10 * time.Millisecond)
	c.crash("h00")
	for range 40 {
		c.advance(100 * time.Millisecond)
	}
	if three, one := c.s.jobs["three"].blame(), c.s.jobs["one"].blame(); three != 0.5 || one != 0.5 {
		t.Errorf("the blame of two submissions for one crash is %.2f and %.2f, want 0.5 each", three, one)
	}
}
