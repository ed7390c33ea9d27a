package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/crash"
	"github.com/medlarpulley/medlarpulley/internal/cell/trial"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

var rescanAdvice = &cell.AdvicePolicy{Decision: 440 * time.Millisecond, PerHost: 6 * time.Millisecond, Validity: 2500 * time.Millisecond}

// advanceWith moves the time forward by d and carries out one decision, with slow advice.
func (c *cluster) advanceWith(a *slowAdvice, d time.Duration) *Plan {
	c.now += d
	c.restartCrashed()
	c.endDueRuns()
	c.pollHosts()
	p := c.s.Decide(c.now, c.now)
	c.recordStates()
	for _, o := range p.Starts {
		c.start(o)
		c.s.Started(o.Host, o.Task, o.Run, c.now)
	}
	a.step(c, p)
	return p
}

// Guards against a suspect that waits for ever, though the hosts on which it may run have
// room for it twice over, since none of them is ever empty.
func TestSuspectStartsWithinABoundOnHostsWithRoom(t *testing.T) {
	for name, step := range map[string]cell.Step{
		"task":           {Count: 1, Size: resource.Vector{MilliCPU: 4500, MemoryMiB: 1024}, Estimate: time.Second},
		"gang":           {Count: 5, Size: resource.Vector{MilliCPU: 4500, MemoryMiB: 1024}, Estimate: time.Second, Gang: true},
		"gang, one rack": {Count: 5, Size: resource.Vector{MilliCPU: 4500, MemoryMiB: 1024}, Estimate: time.Second, Gang: true, RackLocal: true},
		"wide gang":      {Count: 14, Size: resource.Vector{MilliCPU: 4500, MemoryMiB: 1024}, Estimate: time.Second, Gang: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(48, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
			c.queue(cell.Queue{Name: "busy", Stretch: 2, Latency: time.Second})
			c.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second, Advice: rescanAdvice})
			c.approves = func(g cell.GroupID, host string) bool { return g.Submission == "busy" || host[len(host)-1]%3 == 0 }
			c.submit("busy", "busy", "a", cell.Step{Count: 48, MaxPerHost: 1, Size: resource.Vector{MilliCPU: 6500, MemoryMiB: 1024}, Estimate: time.Minute})
			c.advance(time.Second)
			c.advance(time.Second)
			c.submit("suspect", "q", "b", step)
			c.s.jobs["suspect"].suspected = true
			var advisor slowAdvice
			since := c.now
			bound := trial.MaxIdleHostWait + rescanAdvice.CallDuration(34) + rescanAdvice.CallDuration(14) + rescanAdvice.CallDuration(8)
			if step.Count > 2*len(c.hosts)/trial.HostsPerTrial {
				bound += trial.MaxIdleHostWait // it does not fit on the hosts that a trial may hold
			}
			for c.running("suspect") == 0 && c.now <= since+bound {
				c.advanceWith(&advisor, 10*time.Millisecond)
			}
			if c.running("suspect") == 0 {
				t.Errorf("the suspect has not started after %s and %d calls for advice: %v", c.now-since, len(advisor.calls), c.s.Explain("suspect"))
			}
			if n := len(advisor.calls); n > 4 {
				t.Errorf("%d calls for advice, want 4 at most", n)
			}
			checkViolations(t, c)
		})
	}
}

// Guards against a gang whose hosts for a trial are counted with the largest host, where
// it may not run: the hosts that were kept free never held it.
func TestHostsOfATrialAreCountedByWhatTheyHold(t *testing.T) {
	c := newCluster(12, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
	large := c.hosts["h00"].spec
	large.Capacity = resource.Vector{MilliCPU: 64000, MemoryMiB: 262144}
	c.hosts["h00"].spec = large
	c.s.SetHosts([]cell.Host{large})
	c.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second, Advice: rescanAdvice})
	c.approves = func(_ cell.GroupID, host string) bool { return host != "h00" }
	c.submit("gang", "q", "a", cell.Step{Count: 4, Size: resource.Vector{MilliCPU: 9000, MemoryMiB: 1024}, Estimate: time.Second, Gang: true})
	c.s.jobs["gang"].suspected = true
	var advisor slowAdvice
	for range 300 {
		if c.advanceWith(&advisor, 10*time.Millisecond); c.running("gang") > 0 {
			return
		}
	}
	t.Errorf("the gang has not been started in 3 s on 12 idle hosts; it %s", c.s.jobs["gang"].groups[0].waitReason)
}

// Guards against suspects that wait for as long as others come which are less likely to
// have crashed a host.
func TestEachSuspectHasItsTurn(t *testing.T) {
	c := newCluster(8, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
	c.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second})
	c.queue(cell.Queue{Name: "busy", Stretch: 2, Latency: time.Second})
	c.submit("busy", "busy", "a", cell.Step{Count: 500, Size: resource.Vector{MilliCPU: 7000, MemoryMiB: 1024}, Estimate: 5 * time.Second})
	suspect := func(id string, suspects int) {
		c.submit(id, "q", "b", smallStep(1, 400*time.Millisecond))
		j := c.s.jobs[id]
		j.suspected, j.groups[0].tasks[0].evidence.Confirmed = true, []cell.Crash{{Recent: true, Suspects: suspects}}
	}
	const ahead = 20
	for i := range 1000 { // 100 s
		suspect(fmt.Sprintf("other%03d", i), 4)
		if i == ahead {
			suspect("blamed", 1)
		}
		if c.advance(100 * time.Millisecond); c.running("blamed") > 0 {
			// Each trial takes half a second, and one in trial.AgedInterval goes by age.
			if waited := time.Duration(i-ahead) * 100 * time.Millisecond; waited > trial.AgedInterval*ahead*500*time.Millisecond {
				t.Errorf("a suspect starts after %s, with %d before it", waited, ahead)
			}
			return
		}
	}
	t.Error("a suspect has not started in 100 s")
}

// Guards against bystanders of a trial that are blamed for its crash, and against a
// suspect that is not given up since it was not alone on its host.
func TestTrialBesideOtherRunsIsConclusive(t *testing.T) {
	c := newCluster(8, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
	c.deadly = isDeadly
	c.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second})
	c.queue(cell.Queue{Name: "busy", Stretch: 2, Latency: time.Second})
	for i := range 8 {
		c.submit(fmt.Sprintf("busy%d", i), "busy", "a", cell.Step{Count: 1, Size: resource.Vector{MilliCPU: 9000, MemoryMiB: 1024}, Estimate: time.Minute})
	}
	c.advance(time.Second)
	c.advance(time.Second)
	c.submit("deadly", "q", "b", smallStep(1, time.Second))
	if !c.advanceUntil(200, "deadly") {
		t.Errorf("the task that crashes its hosts is %s after 20 s", c.state["deadly"])
	}
	if n := c.crashes[cell.TaskID{Submission: "deadly"}]; n != crash.CrashesToFail {
		t.Errorf("it crashed %d hosts, want %d", n, crash.CrashesToFail)
	}
	for i := range 8 {
		if j := c.s.jobs[fmt.Sprintf("busy%d", i)]; j.suspected || len(j.groups[0].tasks[0].evidence.Confirmed) > 0 {
			t.Errorf("%s is blamed for a crash of a task that started long after it", j.sub.ID)
		}
	}
	checkViolations(t, c)
}

// Guards against bystanders that are blamed for a crash long after the start of a suspect
// beside them, and against a suspect that is blamed for all of it.
func TestLateCrashBesideASuspectIsCountedForItInPart(t *testing.T) {
	c := newCluster(8, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
	c.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second})
	for i := range 8 {
		c.submit(fmt.Sprintf("busy%d", i), "q", "a", cell.Step{Count: 1, Size: resource.Vector{MilliCPU: 9000, MemoryMiB: 1024}, Estimate: time.Minute})
	}
	c.advance(time.Second)
	c.submit("suspect", "q", "b", smallStep(1, 5*time.Second))
	j := c.s.jobs["suspect"]
	j.suspected, j.groups[0].tasks[0].evidence.Confirmed = true, []cell.Crash{{Suspects: 4, Seen: true}, {Suspects: 4, Seen: true}}
	for range 30 {
		c.advance(100 * time.Millisecond)
	}
	a := j.groups[0].tasks[0].runs[0]
	if len(a.host.runs) != 2 || c.now < a.acceptedAt+time.Second {
		t.Fatalf("the suspect has been running for %s beside %d others, want one", c.now-a.acceptedAt, len(a.host.runs)-1)
	}
	c.crash(a.host.spec.ID)
	for range 40 {
		c.advance(100 * time.Millisecond)
	}
	for i := range 8 {
		if other := c.s.jobs[fmt.Sprintf("busy%d", i)]; len(other.groups[0].tasks[0].evidence.Confirmed) > 0 {
			t.Errorf("the crash is counted for %s", other.sub.ID)
		}
	}
	if got := j.groups[0].tasks[0].evidence.Confirmed; len(got) != 3 || got[2].Suspects != 2 || j.state.Final() {
		t.Errorf("%+v is counted for the suspect, which is %s", got, j.state)
	}
}

// Guards against a trial that begins while other runs have just started on the host, so
// that either may be the cause if it crashes.
func TestTrialWaitsUntilOtherRunsHaveSettled(t *testing.T) {
	c := newCluster(1, resource.Vector{MilliCPU: 64000, MemoryMiB: 65536})
	c.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second})
	c.submit("busy", "q", "a", smallStep(1, time.Minute))
	c.advance(time.Second)
	c.submit("suspect", "q", "b", smallStep(1, time.Minute))
	c.s.jobs["suspect"].suspected = true
	for i := range 200 {
		c.submit(fmt.Sprintf("sound%03d", i), "q", "a", smallStep(1, 100*time.Millisecond))
		if c.advance(20 * time.Millisecond); c.running("suspect") > 0 {
			for _, r := range c.s.sortedHosts[0].runs {
				if id := r.task.id.Submission; id != "suspect" && r.orderedAt > c.now-crash.Window {
					t.Errorf("%s has started %s before the trial", id, c.now-r.orderedAt)
				}
			}
			return
		}
	}
	t.Error("the suspect has not started in 4 s")
}

// Guards against hosts that a group did not use and that are kept free for it again,
// though others would do.
func TestHostsThatWereGivenBackAreChosenLast(t *testing.T) {
	c := newCluster(24, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
	c.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second})
	c.submit("suspect", "q", "a", smallStep(1, time.Second))
	j := c.s.jobs["suspect"]
	j.suspected = true
	g := j.groups[0]
	seen := make(map[*host]bool)
	for range 10 {
		c.s.updateRisks()
		c.s.beginPass(c.s.queue())
		c.s.chooseTrialHosts(c.s.queue())
		for _, h := range c.s.sortedHosts {
			if h.quarantinedFor == g {
				if seen[h] {
					t.Fatalf("%s is kept free again, though %d hosts were not", h.spec.ID, 24-len(seen))
				}
				seen[h] = true
			}
		}
		c.s.giveBack(g)
	}
	if len(seen) != 10 {
		t.Errorf("%d hosts were kept free in ten turns, want 10", len(seen))
	}
}

// advanceUntil advances by 100 ms until a submission has finished, at most n times.
func (c *cluster) advanceUntil(n int, id string) bool {
	for range n {
		if c.state[id].Final() {
			return true
		}
		c.advance(100 * time.Millisecond)
	}
	return false
}

func checkViolations(t *testing.T, c *cluster) {
	for _, v := range c.violations {
		t.Error(v)
	}
}

// Guards against work that waits for 10 s and longer in a cell that is nearly idle, since
// each host is held for a suspect that may crash it late: other suspects, and sound work.
func TestLateTrialsLeaveRoom(t *testing.T) {
	c := crashCluster(8)
	const suspects = 14
	for i := range suspects {
		id := fmt.Sprintf("suspect%02d", i)
		c.submit(id, "q", "a", smallStep(1, 20*time.Second))
		j := c.s.jobs[id]
		j.suspected = true
		j.groups[0].tasks[0].evidence.Confirmed = []cell.Crash{{Run: -1, Suspects: 9, Seen: true}, {Run: -2, Suspects: 9, Seen: true}}
	}
	for range 20 {
		c.advance(100 * time.Millisecond)
	}
	c.submit("sound", "q", "a", smallStep(1, 20*time.Second))
	for range 10 {
		c.advance(100 * time.Millisecond)
	}
	for id := range c.jobs {
		if c.running(id) == 0 {
			t.Errorf("%s does not run after 3 s; it %s", id, c.s.jobs[id].groups[0].waitReason)
		}
	}
}
