package schedule

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// zoneCount is the number of availability zones of a cluster, z0 and so on. The hosts are
// in them in turn.
const zoneCount = 3

func drawZones(t *rapid.T) *cell.EvacuatedZones {
	var zones []string
	for i := range zoneCount {
		if rapid.IntRange(0, 2).Draw(t, "evacuated") == 0 {
			zones = append(zones, fmt.Sprintf("z%d", i))
		}
	}
	return cell.NewEvacuatedZones(zones...)
}

// evacuationCluster is a cluster of two hosts in each zone.
func evacuationCluster() *cluster {
	c := newCluster(2*zoneCount, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
	c.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second})
	c.queue(cell.Queue{Name: "advised", Stretch: 2, Latency: time.Second, Advice: &cell.AdvicePolicy{
		Decision: 10 * time.Millisecond, PerHost: time.Millisecond, Validity: 2 * time.Second,
	}})
	return c
}

// runsIn returns how many runs there are in a zone.
func (c *cluster) runsIn(zone string) (n int) {
	for _, h := range c.hosts {
		if h.spec.Zone == zone {
			n += len(h.runs)
		}
	}
	return n
}

func (c *cluster) reportViolations(t *testing.T) {
	t.Helper()
	if len(c.violations) > 0 {
		t.Errorf("%d rule violations, the first: %s", len(c.violations), c.violations[0])
	}
}

// fullHost is a step each task of which fills a host.
func fullHost(count int, estimate time.Duration) cell.Step {
	return cell.Step{Count: count, Size: resource.Vector{MilliCPU: 16000, MemoryMiB: 1024}, Estimate: estimate}
}

// Guards against starts in an evacuated zone, against a stop of what runs there, and
// against work that stays waiting once the zone is back; also the second time.
func TestNothingStartsInAnEvacuatedZone(t *testing.T) {
	c := evacuationCluster()
	for round := range 2 {
		running := fmt.Sprintf("running%d", round)
		c.submit(running, "q", "a", fullHost(2*zoneCount, 20*time.Second))
		c.advance(10 * time.Millisecond)
		c.evacuated = cell.NewEvacuatedZones("z1")
		later := fmt.Sprintf("later%d", round)
		c.submit(later, "q", "a", fullHost(2*zoneCount, 30*time.Second))
		c.advance(10 * time.Second)
		if got := c.runsIn("z1"); got != 2 || c.running(running) != 2*zoneCount {
			t.Errorf("%d runs in the evacuated zone, want the 2 that began before", got)
		}
		c.advance(11 * time.Second)
		c.advance(100 * time.Millisecond)
		if c.state[running] != cell.Completed || c.running(later) != 4 || c.runsIn("z1") != 0 {
			t.Errorf("the former work is %s, %d tasks of the later run, %d in the evacuated zone; want 4 and 0", c.state[running], c.running(later), c.runsIn("z1"))
		}
		if text := strings.Join(c.s.Explain(later), "\n"); !strings.Contains(text, "2 of its hosts are in evacuated zones") {
			t.Errorf("the wait is explained as %q", text)
		}
		c.evacuated = nil
		c.advance(100 * time.Millisecond)
		if got := c.runsIn("z1"); got != 2 {
			t.Errorf("%d tasks run in the zone that is back, want 2", got)
		}
		if !c.stepUntilFinished(1000, 100*time.Millisecond) {
			t.Error("work stays waiting")
		}
	}
	c.reportViolations(t)
}

// Guards against a new owner that starts tasks in a zone that was evacuated under its
// predecessor, and against one that stops what runs there.
func TestEvacuationHoldsAcrossAChangeOfOwner(t *testing.T) {
	c := evacuationCluster()
	c.submit("running", "q", "a", fullHost(2*zoneCount, 5*time.Second))
	c.advance(10 * time.Millisecond)
	c.evacuated = cell.NewEvacuatedZones("z0", "z2")
	c.submit("later", "q", "a", fullHost(2*zoneCount, time.Second))
	c.advance(time.Second)
	c.replaceOwner()
	c.s.MarkReconciled(c.now)
	c.advance(time.Second)
	if got := c.running("running"); got != 2*zoneCount {
		t.Errorf("%d former runs are left, want %d", got, 2*zoneCount)
	}
	if !c.stepUntilFinished(300, 100*time.Millisecond) {
		t.Error("work does not end in the zone that is left")
	}
	c.reportViolations(t)
}

// Guards against a long-running task that is stopped in an evacuated zone, and one that
// starts there again after it has ended.
func TestLongRunningTasksOfAnEvacuatedZone(t *testing.T) {
	c := evacuationCluster()
	step := fullHost(3, time.Second)
	step.LongRunning, step.MaxPerHost = true, 1
	c.takes = func(cell.TaskID, time.Duration) time.Duration { return time.Hour }
	c.submit("serving", "q", "a", step)
	c.advance(10 * time.Millisecond)
	var zone string
	for _, h := range c.hosts {
		if len(h.runs) > 0 {
			zone = h.spec.Zone
		}
	}
	c.evacuated = cell.NewEvacuatedZones(zone)
	before := c.runsIn(zone)
	for range 50 {
		c.advance(100 * time.Millisecond)
	}
	if got := c.runsIn(zone); got != before || c.running("serving") != 3 {
		t.Errorf("%d of %d runs are left in the evacuated zone", got, before)
	}
	for _, h := range c.hosts {
		if h.spec.Zone == zone {
			for _, r := range h.runs {
				r.endsAt, r.stopped = c.now, true
			}
		}
	}
	for range 20 {
		c.advance(100 * time.Millisecond)
	}
	if got := c.runsIn(zone); got != 0 || c.running("serving") != 3 {
		t.Errorf("%d tasks run, %d of them in the evacuated zone; want 3 and 0", c.running("serving"), got)
	}
	c.reportViolations(t)
}

// Guards against calls for advice about hosts on which nothing may start, and against a
// step that waits with tickets for such hosts only.
func TestAdviceIsRequestedOutsideOfAnEvacuatedZone(t *testing.T) {
	c := evacuationCluster()
	c.approves = func(_ cell.GroupID, host string) bool { return c.hosts[host].spec.Zone != "z2" }
	c.evacuated = cell.NewEvacuatedZones("z1", "z2")
	c.submit("job", "advised", "a", fullHost(1, time.Second))
	c.s.SetEvacuated(c.evacuated)
	c.now += 10 * time.Millisecond
	p := c.s.Decide(c.now, c.wall())
	if len(p.AdviceRequests) != 1 {
		t.Fatalf("%d calls", len(p.AdviceRequests))
	}
	for _, name := range p.AdviceRequests[0].Hosts {
		if c.evacuated.Has(c.hosts[name].spec.Zone) {
			t.Errorf("advice is requested about %s in an evacuated zone", name)
		}
	}
	c.answerAdviceRequests(p)
	c.evacuated = cell.NewEvacuatedZones("z0") // that of all tickets
	for range 5 {
		c.advance(50 * time.Millisecond)
	}
	if c.runsIn("z1") != 1 {
		t.Errorf("the task does not run in the zone that is back: %v", c.s.Explain("job"))
	}
	c.reportViolations(t)
}

// Guards against a copy of a slow run in an evacuated zone.
func TestNoCopyStartsInAnEvacuatedZone(t *testing.T) {
	c := evacuationCluster()
	step := fullHost(1, time.Second)
	step.AllowCopies = true
	c.takes = func(cell.TaskID, time.Duration) time.Duration { return 30 * time.Second }
	c.submit("slow", "q", "a", step)
	c.advance(10 * time.Millisecond)
	c.evacuated = cell.NewEvacuatedZones("z0", "z1", "z2")
	for range 80 {
		c.advance(100 * time.Millisecond)
	}
	if got := c.running("slow"); got != 1 {
		t.Fatalf("%d runs, want the one that began before", got)
	}
	c.evacuated = cell.NewEvacuatedZones("z0", "z1")
	c.advance(100 * time.Millisecond)
	if got := c.running("slow"); got != 2 {
		t.Errorf("%d runs with a zone for a copy, want 2", got)
	}
	c.reportViolations(t)
}

// Guards against a trial of a suspected task in an evacuated zone, and against a host that
// stays free for one there.
func TestNoTrialStartsInAnEvacuatedZone(t *testing.T) {
	c := evacuationCluster()
	deadly := true
	c.deadly = func(t cell.TaskID) bool { return deadly && t.Submission == "suspect" }
	c.submit("suspect", "q", "a", fullHost(1, time.Second))
	c.advance(10 * time.Millisecond)
	deadly = false
	c.evacuated = cell.NewEvacuatedZones("z0", "z1", "z2")
	for range 100 {
		c.advance(100 * time.Millisecond)
	}
	if !c.s.jobs["suspect"].suspected {
		t.Fatal("the submission is not suspected")
	}
	if got := c.running("suspect"); got != 0 {
		t.Errorf("%d trials run", got)
	}
	for _, h := range c.s.Dump().Hosts {
		if h.QuarantinedFor != "" {
			t.Errorf("%s in an evacuated zone is kept free for %s", h.ID, h.QuarantinedFor)
		}
	}
	c.evacuated = cell.NewEvacuatedZones("z1", "z2")
	if !c.stepUntilFinished(100, 100*time.Millisecond) {
		t.Errorf("the suspect does not end: %v", c.s.Explain("suspect"))
	}
	c.reportViolations(t)
}

// Guards against harm done by zones that do not exist, and by hosts without a zone.
func TestUnknownZonesChangeNothing(t *testing.T) {
	c := evacuationCluster()
	c.hosts["h00"].spec.Zone = ""
	c.relist()
	c.evacuated = cell.NewEvacuatedZones("", "z", "z00", "Z0", "z0 ", "z0/z1", "\x00\xff", strings.Repeat("z", 250))
	c.submit("job", "q", "a", fullHost(2*zoneCount-1, time.Second))
	c.advance(10 * time.Millisecond)
	if got := c.running("job"); got != 2*zoneCount-1 {
		t.Errorf("%d tasks run, want %d", got, 2*zoneCount-1)
	}
}

// Guards against a host that changes its zone, or that is new, and that counts as being in
// the former one.
func TestEvacuationFollowsTheHostList(t *testing.T) {
	c := evacuationCluster()
	c.evacuated = cell.NewEvacuatedZones("z1")
	c.advance(10 * time.Millisecond)
	for _, id := range c.ids() {
		c.hosts[id].spec.Zone = map[string]string{"z0": "z1", "z1": "z0", "z2": "z1"}[c.hosts[id].spec.Zone]
	}
	c.hosts["h99"] = &fakeHost{id: "h99", startedMs: 1, spec: cell.Host{ID: "h99", Service: "s", Zone: "z1", Capacity: resource.Vector{MilliCPU: 16000, MemoryMiB: 65536}}}
	c.relist()
	c.submit("job", "q", "a", fullHost(2*zoneCount, time.Second))
	c.advance(10 * time.Millisecond)
	if got := c.running("job"); got != 2 {
		t.Errorf("%d tasks run, want 2 in the zone that is left", got)
	}
	if d := c.s.Dump().Evacuated; len(d) != 1 || d[0].Zone != "z1" || d[0].Hosts != 5 || d[0].Runs != 0 {
		t.Errorf("the dump has the evacuated zones %+v", d)
	}
	c.reportViolations(t)
}
