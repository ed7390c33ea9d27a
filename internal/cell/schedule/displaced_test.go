package schedule

import (
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/gangroom"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// membersCluster returns a cell of 64-core hosts in which gangs of members of 18 cores were seen.
// h00 has 36 cores free, so that a task of 9.9 cores displaces a member there, and h01 has 64,
// where it displaces none.
func membersCluster(t *testing.T, gangCapacity bool) *cluster {
	t.Helper()
	clusterFeatures = Features{GangCapacity: gangCapacity}
	t.Cleanup(func() { clusterFeatures = Features{} })
	c := newCluster(2, resource.Vector{MilliCPU: 64_000, MemoryMiB: 256 * 1024})
	c.queue(cell.Queue{Name: "urgent", Priority: 0, Stretch: 2, Latency: time.Second})
	c.queue(cell.Queue{Name: "other", Priority: 2, Stretch: 2, Latency: time.Second})
	c.submit("before", "other", "b", cell.Step{Count: 1, Size: resource.Vector{MilliCPU: 28_000, MemoryMiB: 1024}, Estimate: time.Minute})
	c.advance(10 * time.Millisecond)
	if c.hostOf("before") != "h00" {
		t.Fatalf("the first task runs on %s, want h00", c.hostOf("before"))
	}
	c.submit("gang", "other", "a", cell.Step{Count: 20, Gang: true, Size: resource.Vector{MilliCPU: 18_000, MemoryMiB: 1024}, Estimate: time.Second})
	c.advanceFor(2 * periodicCheckInterval)
	return c
}

func lookup() cell.Step {
	return cell.Step{Count: 1, Size: resource.Vector{MilliCPU: 9900, MemoryMiB: 1024}, Estimate: time.Second}
}

// Guards against single tasks that take the place of a gang member although another host has
// room beside the members, and against another order while gang capacity is off.
func TestSingleTasksDisplaceFewGangMembers(t *testing.T) {
	for _, c := range []struct {
		queue        string
		gangCapacity bool
		want         string
	}{{"other", false, "h00"}, {"other", true, "h01"}, {"urgent", false, "h00"}, {"urgent", true, "h01"}} {
		cl := membersCluster(t, c.gangCapacity)
		cl.submit("single", c.queue, "a", lookup())
		cl.advance(10 * time.Millisecond)
		if dumped := len(cl.s.Dump().GangMembers) > 0; dumped != c.gangCapacity {
			t.Errorf("gang capacity %t: the dump shows the size of members: %t", c.gangCapacity, dumped)
		}
		if got := cl.hostOf("single"); got != c.want {
			t.Errorf("queue %s, gang capacity %t: the task runs on %q, want %s", c.queue, c.gangCapacity, got, c.want)
		}
	}
}

// Guards against work that starts on a slow host to make room for gangs: in a trial, the share of
// the benefit of quick, urgent tasks fell from 0.88 to 0.83.
func TestTasksStartOnNoSlowerHostForGangs(t *testing.T) {
	const want = "h00"
	for _, queue := range []string{"urgent", "other"} {
		c := membersCluster(t, true)
		c.s.hosts["h01"].health.slowness = 1.7
		c.submit("single", queue, "a", lookup())
		c.advance(10 * time.Millisecond)
		if got := c.hostOf("single"); got != want {
			t.Errorf("queue %s: the task runs on %q, want %s", queue, got, want)
		}
	}
}

// Guards against displaced members that outweigh the other penalties of a host: a task that
// failed on a host started there again to make room for gangs.
func TestDisplacedMembersOutweighNoOtherPenalty(t *testing.T) {
	for name, c := range map[string]struct {
		change func(g *group, h00, h01 *host)
		want   string
	}{
		"no penalty":    {func(*group, *host, *host) {}, "h01"},
		"failed before": {func(g *group, _, _ *host) { g.tasks[0].failedOn = "h01" }, "h00"},
		"remote data":   {func(g *group, h00, h01 *host) { g.step.DataRack, h01.rack = h00.rack, "other" }, "h00"},
		"interference":  {func(g *group, _, h01 *host) { g.step.LatencyTarget, h01.bestEffortCPU = time.Millisecond, 1 }, "h00"},
		"slow":          {func(_ *group, _, h01 *host) { h01.health.slowness = 1.7 }, "h00"},
		"fast":          {func(_ *group, _, h01 *host) { h01.health.slowness = 0.5 }, "h01"},
	} {
		cl := membersCluster(t, true)
		h00, h01 := cl.s.hosts["h00"], cl.s.hosts["h01"]
		// A task displaces 10 members on h00, and none on h01, where memory limits them.
		h00.used.MilliCPU = 54_000
		members := &gangroom.Members{}
		members.Count(resource.Vector{MilliCPU: 1000, MemoryMiB: 25 * 1024}, 1)
		members.Update(cl.now)
		cl.s.gangMembers["s"] = members
		cl.submit("single", "other", "a", lookup())
		cl.s.createGroups()
		g := cl.s.jobs["single"].groups[0]
		c.change(g, h00, h01)
		if got := cl.s.bestHost(g, []*host{h00, h01}, g.tasks[0]).spec.ID; got != c.want {
			t.Errorf("%s: the task starts on %s, want %s", name, got, c.want)
		}
	}
}

// Guards against calls that name the emptiest hosts for single tasks, which gangs need whole, and
// for urgent work against calls that name slow ones first.
func TestCallsForSingleTasksNameHostsWhereTheyDisplaceFewMembers(t *testing.T) {
	for name, c := range map[string]struct {
		queue    string
		slowness float64 // of h00
		gangs    bool
		want     string
		idle     bool // most of the cell
	}{
		"no gangs":               {"other", 1, false, "h01", false},
		"gangs":                  {"other", 1, true, "h00", false},
		"mostly idle":            {"other", 1, true, "h01", true},
		"urgent":                 {"urgent", 1, true, "h00", false},
		"urgent, unequal speed":  {"urgent", 1.7, true, "h01", false},
		"other, unequal speed":   {"other", 1.7, true, "h00", false},
		"urgent, slow, no gangs": {"urgent", 1.7, false, "h01", false},
	} {
		cl := membersCluster(t, c.gangs)
		// A task displaces a member on h01, which has 54 cores free, and none on h00, which has 46.
		cl.s.hosts["h00"].used.MilliCPU, cl.s.hosts["h01"].used.MilliCPU = 18_000, 10_000
		cl.s.hosts["h00"].health.slowness = c.slowness
		cl.queue(cell.Queue{Name: c.queue, Priority: cl.queues[c.queue].Priority, Stretch: 2, Latency: time.Second, Advice: &cell.AdvicePolicy{
			Decision: 100 * time.Millisecond, PerHost: time.Millisecond, Validity: time.Second,
		}})
		cl.submit("single", c.queue, "a", lookup())
		cl.s.createGroups()
		g := cl.s.jobs["single"].groups[0]
		if cl.s.mostlyIdle = c.idle; cl.s.displacedBy(g) != nil != c.gangs {
			t.Fatalf("%s: gangs are known: %t", name, !c.gangs)
		}
		if got := cl.s.singleHostsToAsk(g, []*host{cl.s.hosts["h00"], cl.s.hosts["h01"]})[0].spec.ID; got != c.want {
			t.Errorf("%s: the call names %s first, want %s", name, got, c.want)
		}
	}
}

// Guards against an order of hosts by the members of gangs of another service.
func TestOnlyGangsOfTheServiceCount(t *testing.T) {
	c := membersCluster(t, true)
	c.s.gangMembers["other service"] = c.s.gangMembers["s"]
	delete(c.s.gangMembers, "s")
	c.submit("single", "other", "a", lookup())
	if c.s.createGroups(); c.s.displacedBy(c.s.jobs["single"].groups[0]) != nil {
		t.Error("the gangs of another service count")
	}
}

// Guards against hosts that are kept whole for gangs which never start there: long-running ones,
// which do not return, and those whose members no host can hold.
func TestOnlyGangsThatStartOnHostsCount(t *testing.T) {
	size := func(cores int64) resource.Vector { return resource.Vector{MilliCPU: 1000 * cores, MemoryMiB: 1024} }
	for name, c := range map[string]struct {
		step cell.Step
		want bool
	}{
		"gang":         {cell.Step{Size: size(18)}, true},
		"long-running": {cell.Step{Size: size(18), LongRunning: true}, false},
		"too large":    {cell.Step{Size: size(100)}, false},
		"no host":      {cell.Step{Size: size(18), Label: "unknown"}, false},
	} {
		cl := membersCluster(t, true)
		clear(cl.s.gangMembers)
		cl.s.jobs["gang"].groups[0].step.LongRunning = true
		c.step.Count, c.step.Gang, c.step.Estimate = 20, true, time.Second
		cl.submit("another", "other", "a", c.step)
		cl.advanceFor(2 * periodicCheckInterval)
		if got := cl.s.gangMembers["s"] != nil; got != c.want {
			t.Errorf("%s: it counts: %t, want %t", name, got, c.want)
		}
	}
}

// Guards against calls in a busy cell that name only hosts where tasks displace few members, which
// are the same for all groups and fill up, or only the emptiest ones.
func TestCallsForSingleTasksNameHostsByBothOrders(t *testing.T) {
	cl := membersCluster(t, true)
	p := &cell.AdvicePolicy{Decision: 100 * time.Millisecond, PerHost: 3 * time.Millisecond, Validity: time.Second}
	cl.queue(cell.Queue{Name: "advised", Priority: 2, Stretch: 2, Latency: time.Second, Advice: p})
	cl.submit("single", "advised", "a", lookup())
	cl.s.createGroups()
	var hosts []*host
	for i := range 60 { // a task displaces no member on the first 30, with 10 cores free, and one on the others, with 54
		h := *cl.s.hosts["h01"]
		if h.used.MilliCPU = 10_000; i < 30 {
			h.used.MilliCPU = 54_000
		}
		hosts = append(hosts, &h)
	}
	cl.s.mostlyIdle = false
	full := 0
	named := cl.s.singleHostsToAsk(cl.s.jobs["single"].groups[0], hosts)
	seen := make(map[*host]bool)
	for _, h := range named {
		if seen[h] = true; h.used.MilliCPU > 10_000 {
			full++
		}
	}
	if limit := adviceHostLimit(p); len(seen) != limit || len(named) != limit || full != limit/2 {
		t.Errorf("the call names %d hosts, %d of them once, and %d nearly full ones; want %d, and half of them nearly full", len(named), len(seen), full, limit)
	}
}
