package schedule

import (
	"fmt"
	"hash/fnv"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// backlog returns a cell of 350 hosts with three kinds of work waiting, as after
// a takeover during a burst.
func backlog(waiting int) *cluster {
	c := newCluster(350, resource.Vector{MilliCPU: 16_000, MemoryMiB: 64_000})
	c.teams = map[string]cell.Team{}
	for i := range 20 {
		name := fmt.Sprintf("t%d", i)
		c.teams[name] = cell.Team{Name: name, Weight: 1000}
	}
	c.approves = func(g cell.GroupID, host string) bool {
		h := fnv.New32a()
		_, _ = fmt.Fprint(h, g, host)
		return h.Sum32()%10 < 4
	}
	policy := &cell.AdvicePolicy{Decision: 50 * time.Millisecond, PerHost: time.Millisecond, Validity: 2 * time.Second}
	c.queue(cell.Queue{Name: "urgent", Priority: 0, Stretch: 1.5, Latency: 250 * time.Millisecond, Advice: policy})
	c.queue(cell.Queue{Name: "wide", Priority: 1, Stretch: 1.5, Latency: time.Second, Advice: policy})
	c.queue(cell.Queue{Name: "many", Priority: 2, Stretch: 3, Latency: 3 * time.Second, Advice: policy})
	for i := range waiting {
		team := fmt.Sprintf("t%d", i%20)
		id := fmt.Sprintf("%016x", i)
		switch i % 10 {
		case 0:
			c.submit(id, "wide", team, cell.Step{Count: 20, Gang: true, Estimate: 6 * time.Second, Size: resource.Vector{MilliCPU: 4500, MemoryMiB: 4000}})
		case 1:
			c.submit(id, "many", team, cell.Step{Count: 25, Estimate: 3 * time.Second, Size: resource.Vector{MilliCPU: 1700, MemoryMiB: 2000}})
		default:
			c.submit(id, "urgent", team, cell.Step{Count: 3, Estimate: time.Second, Size: resource.Vector{MilliCPU: 2500, MemoryMiB: 1000}})
		}
	}
	return c
}

// fillHosts makes decisions until the hosts are full; no run ends.
func (c *cluster) fillHosts() {
	for range 40 {
		c.now += 10 * time.Millisecond
		p := c.s.Decide(c.now, c.now)
		c.s.TakeLogMessages()
		c.accept(p)
	}
}

// benchmarkGangCapacity runs a benchmark without gang capacity and with it.
func benchmarkGangCapacity(b *testing.B, name string, f func(b *testing.B)) {
	for _, on := range []bool{false, true} {
		b.Run(fmt.Sprintf("%s/gang_capacity=%t", name, on), func(b *testing.B) {
			clusterFeatures.GangCapacity = on
			defer func() { clusterFeatures = Features{} }()
			f(b)
		})
	}
}

// accept answers every start order and advice request of a plan; the fake hosts
// keep no run.
func (c *cluster) accept(p *Plan) {
	c.answerAdviceRequests(p)
	for _, o := range p.Starts {
		c.s.Started(o.Host, o.Task, o.Run, c.now)
	}
}

func BenchmarkDecide(b *testing.B) {
	for _, waiting := range []int{200, 1000, 2000, 6000} {
		benchmarkGangCapacity(b, fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			c := backlog(waiting)
			c.fillHosts()
			b.ResetTimer()
			for range b.N {
				c.now += 25 * time.Millisecond
				p := c.s.Decide(c.now, c.now)
				c.s.TakeLogMessages()
				c.accept(p)
			}
		})
	}
}

// BenchmarkDecideUnanswered measures decisions of an owner that has just taken over a
// backlog and gets no advice.
func BenchmarkDecideUnanswered(b *testing.B) {
	c := backlog(6000)
	for b.Loop() {
		c.now += 25 * time.Millisecond
		c.s.SetAdviceRoom(cell.AdviceRoom{Short: 60, Long: 28, LongFrom: 150 * time.Millisecond})
		p := c.s.Decide(c.now, c.now)
		c.s.TakeLogMessages()
		for _, r := range p.AdviceRequests {
			c.s.AdviceFailed(r.Group, c.now)
		}
	}
}

// BenchmarkDecideFullCell measures decisions about a backlog whose groups have been given
// advice, in a cell where a run ends now and then.
func BenchmarkDecideFullCell(b *testing.B) {
	for _, waiting := range []int{1000, 6000, 12_000} {
		benchmarkGangCapacity(b, fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			benchmarkFullCell(b, backlog(waiting))
		})
	}
}

func benchmarkFullCell(b *testing.B, c *cluster) {
	started := 0
	var ends []Start
	round := func() {
		c.now += 25 * time.Millisecond
		c.s.SetAdviceRoom(cell.AdviceRoom{Short: 60, Long: 28, LongFrom: 150 * time.Millisecond})
		p := c.s.Decide(c.now, c.now)
		c.s.TakeLogMessages()
		c.accept(p)
		started += len(p.Starts)
		ends = append(ends, p.Starts...)
		for n := 0; n < 10 && len(ends) > 0; n++ { // some runs end and start anew
			c.s.Refused(ends[0].Host, ends[0].Task, ends[0].Run, RefusedOther, c.now)
			ends = ends[1:]
		}
	}
	for range 300 {
		round()
	}
	b.ResetTimer()
	for range b.N {
		round()
	}
	b.ReportMetric(float64(started)/float64(b.N+300), "starts/op")
}

// BenchmarkDecideArrivals measures decisions about urgent submissions that arrive at a
// thousand a second in a cell of 3,000 hosts.
func BenchmarkDecideArrivals(b *testing.B) {
	c := newCluster(3000, resource.Vector{MilliCPU: 16_000, MemoryMiB: 64_000})
	c.teams = map[string]cell.Team{"a": {Name: "a"}}
	policy := &cell.AdvicePolicy{Decision: 7200 * time.Microsecond, PerHost: 100 * time.Microsecond, Validity: 2500 * time.Millisecond}
	c.queue(cell.Queue{Name: "urgent", Priority: 0, Stretch: 1.5, Latency: 250 * time.Millisecond, Advice: policy})
	var ends []Start
	n := 0
	b.ResetTimer()
	for range b.N {
		c.now += 25 * time.Millisecond
		for range 27 {
			n++
			c.submit(fmt.Sprintf("%016x", n), "urgent", "a", cell.Step{Count: 3, Estimate: time.Second, Size: resource.Vector{MilliCPU: 2500, MemoryMiB: 1000}})
		}
		c.s.SetAdviceRoom(cell.AdviceRoom{Short: 600, Long: 200, LongFrom: 150 * time.Millisecond})
		p := c.s.Decide(c.now, c.now)
		c.s.TakeLogMessages()
		c.accept(p)
		ends = append(ends, p.Starts...)
	}
	b.ReportMetric(float64(len(ends))/float64(b.N), "starts/op")
}
