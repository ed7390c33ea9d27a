package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// hostSized is a gang of n tasks that fill a host each.
func hostSized(n int, estimate time.Duration) cell.Step {
	return cell.Step{Count: n, Size: resource.Vector{MilliCPU: 16000, MemoryMiB: 1024}, Estimate: estimate, Gang: true}
}

// streamUntil keeps the hosts busy with small tasks until a submission runs, for at most
// n decisions. It reports whether the submission has started.
func (c *cluster) streamUntil(id string, n int) bool {
	for i := range n {
		for k := range 4 {
			c.submit(fmt.Sprintf("small%d-%d", i, k), "small", "b", smallStep(4, time.Second))
		}
		c.advance(100 * time.Millisecond)
		if c.running(id) > 0 {
			return true
		}
	}
	return false
}

// Guards against gangs that can never get their room, and that keep the other gangs from
// getting theirs.
func TestGangWithoutRoomHoldsNoReservation(t *testing.T) {
	for _, c := range []struct {
		name    string
		step    cell.Step
		prepare func(*cluster)
	}{
		{"more members than hosts, one on each", cell.Step{Count: 7, Size: resource.Vector{MilliCPU: 2000}, Estimate: time.Second, Gang: true, MaxPerHost: 1}, func(*cluster) {}},
		{"more members than hosts hold", hostSized(7, time.Second), func(*cluster) {}},
		{"hosts with the label leave", cell.Step{Count: 5, Size: resource.Vector{MilliCPU: 8000}, Estimate: time.Second, Gang: true, Label: "l"}, func(c *cluster) {
			for _, id := range []string{"h00", "h01", "h02"} {
				c.hosts[id].spec.Labels = append(c.hosts[id].spec.Labels, "l")
				c.hosts[id].spec.Leaving = id == "h00"
			}
			c.resize("h01", c.hosts["h01"].spec.Capacity)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			cl := newCluster(6, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
			cl.teams["b"] = cell.Team{Name: "b", Weight: 1000}
			cl.queue(cell.Queue{Name: "first", Priority: 0, Stretch: 100, Latency: time.Hour})
			cl.queue(cell.Queue{Name: "q", Priority: 0, Stretch: 200, Latency: time.Hour})
			cl.queue(cell.Queue{Name: "small", Priority: 2, Stretch: 2, Latency: time.Second})
			c.prepare(cl)
			for i := range minReservingGangs {
				cl.submit(fmt.Sprintf("never%d", i), "first", "a", c.step)
			}
			cl.streamUntil("none", 20)
			cl.submit("gang", "q", "a", hostSized(4, time.Second))
			if !cl.streamUntil("gang", 100) {
				t.Errorf("the gang has not started in 10 s; it %s", cl.s.jobs["gang"].groups[0].waitReason)
			}
			for _, v := range cl.violations {
				t.Error(v)
			}
		})
	}
}

// Guards against a gang that does not start on idle hosts: its tickets had expired, and
// it might not renew them while other gangs waited for room elsewhere.
func TestGangWithRoomRenewsTicketsBesideReservingGangs(t *testing.T) {
	c := newCluster(6, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
	advice := &cell.AdvicePolicy{Decision: 100 * time.Millisecond, PerHost: time.Millisecond, Validity: time.Second}
	c.queue(cell.Queue{Name: "first", Priority: 0, Stretch: 100, Latency: time.Hour, Advice: advice})
	c.queue(cell.Queue{Name: "q", Priority: 1, Stretch: 100, Latency: time.Hour, Advice: advice})
	c.approves = func(g cell.GroupID, host string) bool { return g.Submission == "gang" || host <= "h02" }
	for _, h := range []string{"h00", "h01", "h02"} {
		c.occupy(h, time.Minute)
	}
	for i := range minReservingGangs {
		c.submit(fmt.Sprintf("waits%d", i), "first", "a", hostSized(1, time.Second))
	}
	first := smallStep(1, 500*time.Millisecond)
	gang := cell.Step{Count: 8, Size: first.Size, Estimate: time.Second, Gang: true, After: []int{0}}
	c.submit("gang", "q", "a", first, gang)
	for range 30 { // the first step takes longer than estimated, so that the tickets for the second expire
		c.advance(100 * time.Millisecond)
		for _, h := range c.hosts {
			for _, r := range h.runs {
				if r.task.Submission == "gang" {
					r.endsAt = c.now + 200*time.Millisecond
				}
			}
		}
	}
	if n := len(c.s.jobs["gang"].groups[1].advice.tickets); n == 0 {
		t.Fatal("no advice was asked for ahead")
	}
	for range 10 {
		c.advance(100 * time.Millisecond)
	}
	if got := c.running("gang"); got != 8 {
		t.Errorf("%d of 8 members run a second after the first step, on idle hosts; it %s", got, c.s.jobs["gang"].groups[1].waitReason)
	}
}

// Guards against a gang that waits for room on hosts where long-running tasks never free
// it, and for which that room is kept: they were expected to end after their estimate.
func TestRoomOfLongRunningTasksIsNotExpected(t *testing.T) {
	c := newCluster(6, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
	c.teams["b"] = cell.Team{Name: "b", Weight: 1000}
	c.queue(cell.Queue{Name: "first", Priority: 0, Stretch: 200, Latency: time.Hour})
	c.queue(cell.Queue{Name: "small", Priority: 2, Stretch: 2, Latency: time.Second})
	service := cell.Step{Count: 5, Size: resource.Vector{MilliCPU: 9000, MemoryMiB: 1024}, Estimate: time.Second, LongRunning: true, MaxPerHost: 1}
	c.submit("service", "first", "a", service)
	c.advance(10 * time.Millisecond)
	for _, h := range c.hosts {
		for _, r := range h.runs {
			r.endsAt = c.now + time.Hour
		}
	}
	for i := range minReservingGangs {
		c.submit(fmt.Sprintf("never%d", i), "first", "a", hostSized(2, time.Second))
	}
	c.advance(10 * time.Millisecond)
	c.submit("long", "small", "b", smallStep(25, 20*time.Second))
	c.advance(10 * time.Millisecond)
	if got := c.running("long"); got != 25 {
		t.Errorf("%d of 25 tasks run beside long-running ones, where nothing else can", got)
	}
}

// Guards against a gang that gathers room without end, since tasks are let into it again
// and again that are short, or take longer than estimated.
func TestRoomIsGatheredInBoundedTime(t *testing.T) {
	const (
		longestEstimate = 900 * time.Millisecond
		longestFactor   = 3
	)
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		shortest := time.Duration(rapid.IntRange(50, 850).Draw(t, "shortest estimate")) * time.Millisecond
		c := newCluster(6, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
		c.teams["b"] = cell.Team{Name: "b", Weight: 1000}
		c.queue(cell.Queue{Name: "first", Priority: 0, Stretch: 200, Latency: time.Hour})
		c.queue(cell.Queue{Name: "small", Priority: 2, Stretch: 2, Latency: time.Second})
		factor := rapid.Float64Range(0, longestFactor).Draw(t, "spread of the durations")
		c.takes = func(id cell.TaskID, estimate time.Duration) time.Duration {
			if id.Submission == "gang" {
				return estimate
			}
			return time.Duration(float64(estimate) * (longestFactor - factor*r.Float64()))
		}
		stream := func(i int) {
			for k := range 3 {
				estimate := shortest + time.Duration(r.Int64N(int64(longestEstimate-shortest)))
				c.submit(fmt.Sprintf("small%d-%d", i, k), "small", "b", smallStep(1+r.IntN(4), estimate))
			}
			c.advance(50 * time.Millisecond)
		}
		for i := range 60 {
			stream(i)
		}
		c.submit("gang", "first", "a", hostSized(4, time.Second))
		at := c.now
		var promised time.Duration
		for i := 60; i < 460 && c.running("gang") == 0; i++ {
			stream(i)
			if p := c.s.jobs["gang"].groups[0].promise; p != nil {
				promised = p.at
			}
		}
		most := max(promised-at, 0) + longestFactor*longestEstimate + 100*time.Millisecond
		if took := c.now - at; c.running("gang") == 0 || took > most {
			t.Errorf("after %s, %d of 4 members run, want all after %s", took, c.running("gang"), most)
		}
	})
}

// Guards against a gang that waits without end for the room of a run that does not end,
// while smaller work takes the room elsewhere.
func TestGangLooksElsewhereForRoomThatDoesNotCome(t *testing.T) {
	c := newCluster(2, resource.Vector{MilliCPU: 16000, MemoryMiB: 65536})
	c.teams["b"] = cell.Team{Name: "b", Weight: 1000}
	c.queue(cell.Queue{Name: "first", Priority: 0, Stretch: 100, Latency: time.Hour})
	c.queue(cell.Queue{Name: "small", Priority: 2, Stretch: 2, Latency: time.Second})
	c.takes = func(id cell.TaskID, estimate time.Duration) time.Duration {
		if id.Submission == "stuck" {
			return time.Hour
		}
		return estimate - time.Duration(id.Index)*100*time.Millisecond // so that the small tasks do not end together
	}
	c.submit("stuck", "small", "b", hostSized(1, 900*time.Millisecond))
	c.advance(100 * time.Millisecond)
	c.streamUntil("gang", 5)
	c.submit("gang", "first", "a", hostSized(1, time.Second))
	if !c.streamUntil("gang", 120) {
		t.Errorf("the gang has not started after 12 s; it %s", c.s.jobs["gang"].groups[0].waitReason)
	}
}
