package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// rackGang is a gang of which a rack of three empty hosts holds one.
func rackGang(estimate time.Duration) cell.Step {
	return cell.Step{Count: 6, Size: resource.Vector{MilliCPU: 8000, MemoryMiB: 1024}, Estimate: estimate, Gang: true, RackLocal: true}
}

// occupy fills a host for a time, which its estimate tells.
func (c *cluster) occupy(host string, d time.Duration) {
	id := "on-" + host
	c.queue(cell.Queue{Name: "only-" + host, Stretch: 2, Latency: time.Second})
	c.hosts[host].spec.Labels = append(c.hosts[host].spec.Labels, "only-"+host)
	c.resize(host, c.hosts[host].spec.Capacity)
	c.submit(id, "only-"+host, "b", cell.Step{Count: 1, Size: resource.Vector{MilliCPU: 16000, MemoryMiB: 1024}, Estimate: d, Label: "only-" + host})
	c.advance(10 * time.Millisecond)
	if c.running(id) != 1 {
		panic("the host has not been filled: " + host)
	}
}

// racksOf returns the racks on which a submission runs.
func (c *cluster) racksOf(id string) map[string]bool {
	out := make(map[string]bool)
	for _, h := range c.hosts {
		for _, r := range h.runs {
			if r.task.Submission == id {
				out[h.spec.Rack()] = true
			}
		}
	}
	return out
}

// waitForStart advances until a submission runs and returns how long it took.
func (c *cluster) waitForStart(id string, most time.Duration) (took time.Duration, started bool) {
	for at := c.now; c.now < at+most; {
		c.advance(50 * time.Millisecond)
		if c.running(id) > 0 {
			return c.now - at, true
		}
	}
	return most, false
}

// Guards against a gang that waits for ever for a rack which advice, long work or
// hosts that are down keep from it, although it may span racks.
func TestGangSpansRacksIfNoRackCanHoldItSoon(t *testing.T) {
	advice := &cell.AdvicePolicy{Decision: 10 * time.Millisecond, PerHost: time.Millisecond, Validity: 2 * time.Second}
	for _, c := range []struct {
		name    string
		advice  *cell.AdvicePolicy
		prepare func(*cluster)
	}{
		{"one host of each rack is denied", advice, func(c *cluster) {
			c.approves = func(_ cell.GroupID, host string) bool { return host[2]%3 != 0 }
		}},
		{"one host of each rack is full of long work", nil, func(c *cluster) {
			for _, h := range []string{"h00", "h03", "h06"} {
				c.occupy(h, time.Hour)
			}
		}},
		{"one host of each rack is down", nil, func(c *cluster) {
			for _, h := range []string{"h00", "h03", "h06"} {
				c.hosts[h].unreachable = true
				c.s.MarkUnreachable(h)
			}
		}},
		{"the only rack of approved hosts is full of long work", advice, func(c *cluster) {
			for _, h := range []string{"h00", "h01", "h02"} {
				c.occupy(h, time.Hour)
			}
			c.approves = func(_ cell.GroupID, host string) bool { return host <= "h02" || host[2]%3 != 0 }
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			cl := newCluster(9, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
			cl.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second, Advice: c.advice})
			c.prepare(cl)
			cl.submit("gang", "q", "a", rackGang(2*time.Second))
			if took, ok := cl.waitForStart("gang", 10*time.Second); !ok || took > time.Second {
				t.Errorf("started: %t after %s, want within 1 s; it %s", ok, took, cl.s.jobs["gang"].groups[0].waitReason)
			}
			for _, v := range cl.violations {
				t.Error(v)
			}
		})
	}
}

// Guards against a gang that spans racks and runs slower although a rack is free in a
// moment, and against one that waits longer for its rack than it would lose by spanning
// racks, since the work there takes longer than estimated.
func TestGangWaitsForItsRackAsLongAsItIsWorth(t *testing.T) {
	for _, c := range []struct {
		gang, estimated, actual time.Duration
		racks                   int
		most                    time.Duration
	}{
		{2 * time.Second, 500 * time.Millisecond, 500 * time.Millisecond, 1, time.Second},
		{2 * time.Second, 500 * time.Millisecond, time.Hour, 2, 2500 * time.Millisecond},
		{2 * time.Second, 3 * time.Second, 3 * time.Second, 2, time.Second},
		{20 * time.Second, 500 * time.Millisecond, time.Hour, 2, 2500 * time.Millisecond},
	} {
		t.Run(fmt.Sprint(c.gang, c.estimated, c.actual), func(t *testing.T) {
			cl := newCluster(9, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
			cl.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second})
			for _, h := range []string{"h00", "h03", "h06"} {
				cl.occupy(h, c.estimated)
				cl.hosts[h].runs[0].endsAt = cl.now + c.actual
			}
			cl.submit("gang", "q", "a", rackGang(c.gang))
			took, ok := cl.waitForStart("gang", 10*time.Second)
			if !ok || took > c.most {
				t.Errorf("started: %t after %s, want within %s", ok, took, c.most)
			}
			if got := len(cl.racksOf("gang")); got != c.racks {
				t.Errorf("it runs on %d racks, want %d", got, c.racks)
			}
		})
	}
}

// Guards against a gang that spans racks at the first answer of the advice service,
// though hosts that were not asked about yet could give it one rack.
func TestGangAsksForItsRack(t *testing.T) {
	c := newCluster(24, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
	c.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second, Advice: &cell.AdvicePolicy{Decision: 10 * time.Millisecond, PerHost: time.Millisecond, Validity: 2 * time.Second}})
	c.approves = func(_ cell.GroupID, host string) bool { return host >= "h18" || host[2]%3 != 0 }
	c.submit("gang", "q", "a", rackGang(2*time.Second))
	if took, ok := c.waitForStart("gang", 10*time.Second); !ok || took > time.Second {
		t.Errorf("started: %t after %s, want within 1 s", ok, took)
	}
	if got := len(c.racksOf("gang")); got != 1 {
		t.Errorf("it runs on %d racks, want 1", got)
	}
}
