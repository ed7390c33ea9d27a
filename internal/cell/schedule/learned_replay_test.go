package schedule

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// learnedReplay replays the work of the utility on a cell of 24 hosts of 64 cores without
// advice: half of the core-seconds are gangs of 20 tasks of 18 cores, four tenths are
// submissions of 25 single tasks of 6.9 cores, and the rest are lookups. Estimates are off by
// 20, 90 and 50 %.
type learnedReplay struct {
	c *cluster
	r *rand.Rand
	// uneven is set for hosts that run at 0.7, 0.7 and 1.7 times the usual time, and 3 % of
	// the tasks or gangs that take seven times as long.
	uneven bool
	took   map[cell.TaskID]time.Duration
	// objectives holds those of the submissions by the true duration of their longest task.
	objectives map[string]time.Duration
}

func newLearnedReplay(uneven bool, seed uint64) *learnedReplay {
	p := &learnedReplay{
		c: newCluster(24, resource.Vector{MilliCPU: 64_000, MemoryMiB: 256_000}), r: rand.New(rand.NewPCG(seed, 4)), uneven: uneven,
		took: make(map[cell.TaskID]time.Duration), objectives: make(map[string]time.Duration),
	}
	p.c.teams["a"] = cell.Team{Name: "a", Weight: 100_000}
	p.c.queue(cell.Queue{Name: "lookups", Priority: 0, Stretch: 2, Latency: 250 * time.Millisecond})
	p.c.queue(cell.Queue{Name: "bundles", Priority: 1, Stretch: 2, Latency: 3 * time.Second})
	p.c.queue(cell.Queue{Name: "reconciliations", Priority: 2, Stretch: 3, Latency: 3 * time.Second})
	p.c.takes = func(id cell.TaskID, _ time.Duration) time.Duration {
		if !uneven {
			return p.took[id]
		}
		return time.Duration(float64(p.took[id]) * []float64{0.7, 0.7, 1.7}[int(p.c.startsOn[2]-'0')%3])
	}
	return p
}

// submit submits a step to a queue. base draws the duration of a task, or of all of a gang;
// estimates are off by a factor around the typical duration, or around that of the gang.
func (p *learnedReplay) submit(queue string, step cell.Step, base func() float64, typical, off float64) {
	id := fmt.Sprintf("%s%06d", queue, len(p.c.jobs))
	longest, d, factor := 0.0, base(), p.factor()
	for i := range step.Count {
		if !step.Gang {
			d, factor = base(), p.factor()
		}
		p.took[cell.TaskID{Submission: id, Index: i}] = time.Duration(d * factor * float64(time.Second))
		longest = max(longest, d)
	}
	if step.Gang {
		typical = d
	}
	step.Estimate = time.Duration(typical * math.Pow(1+off, 2*p.r.Float64()-1) * float64(time.Second))
	q := p.c.queues[queue]
	p.objectives[id] = cell.ScaleDuration(time.Duration(longest*float64(time.Second)), q.Stretch) + q.Latency
	p.c.submit(id, queue, "a", step)
}

func (p *learnedReplay) factor() float64 {
	if p.uneven && p.r.Float64() < 0.03 {
		return 7
	}
	return 1
}

// poisson returns how many events with a mean occur.
func (p *learnedReplay) poisson(mean float64) (n int) {
	for product := p.r.Float64(); product > math.Exp(-mean); product *= p.r.Float64() {
		n++
	}
	return n
}

// run replays a load, as a fraction of the capacity, for 3 minutes. It returns the fraction
// of the submissions to each queue that ended in time.
func (p *learnedReplay) run(load float64) map[string]float64 {
	const interval = 50 * time.Millisecond
	work := load * 24 * 64 * interval.Seconds() // core-seconds that arrive in an interval
	size := func(milliCPU int64) resource.Vector { return resource.Vector{MilliCPU: milliCPU, MemoryMiB: 1000} }
	ended := make(map[string]bool)
	all, inTime := make(map[string]float64), make(map[string]float64)
	for range 3 * time.Minute / interval {
		for range p.poisson(0.5 * work / (20 * 18 * 5.3)) {
			p.submit("bundles", cell.Step{Count: 20, Gang: true, Size: size(18_000)}, func() float64 { return 5.3 * (0.9 + 0.2*p.r.Float64()) }, 5.3, 0.2)
		}
		for range p.poisson(0.4 * work / (25 * 6.9 * 2.37)) {
			p.submit("reconciliations", cell.Step{Count: 25, AllowCopies: true, Size: size(6900)}, func() float64 { return 2 * math.Exp(0.58*p.r.NormFloat64()) }, 2, 0.9)
		}
		for range p.poisson(0.1 * work / (3 * 2.5 * 0.5)) {
			p.submit("lookups", cell.Step{Count: 3, AllowCopies: true, Size: size(2500)}, func() float64 { return 0.5 * (0.8 + 0.4*p.r.Float64()) }, 0.5, 0.5)
		}
		p.c.advance(interval)
		for id, state := range p.c.state {
			if state.Final() && !ended[id] {
				ended[id] = true
				if j := p.c.jobs[id]; p.c.now-j.Received <= p.objectives[id] {
					inTime[j.Queue.Name]++
				}
			}
		}
	}
	for _, j := range p.c.jobs {
		all[j.Queue.Name]++
	}
	for queue := range all {
		inTime[queue] /= all[queue]
	}
	return inTime
}

// BenchmarkLearnedReplay reports the fraction of the submissions that end in time, by estimates
// and by learned run times. Run it with -benchtime 1x.
func BenchmarkLearnedReplay(b *testing.B) {
	for _, uneven := range []bool{false, true} {
		for _, load := range []float64{0.8, 0.92} {
			for _, learn := range []bool{false, true} {
				b.Run(fmt.Sprintf("uneven=%t/load=%.2f/learned=%t", uneven, load, learn), func(b *testing.B) {
					clusterFeatures.LearnRunTimes = learn
					defer func() { clusterFeatures = Features{} }()
					const seeds = 4
					sum := make(map[string]float64)
					for range b.N {
						for seed := range uint64(seeds) {
							p := newLearnedReplay(uneven, seed)
							for queue, fraction := range p.run(load) {
								sum[queue] += fraction / seeds / float64(b.N)
							}
							if len(p.c.violations) > 0 {
								b.Fatal(p.c.violations[0])
							}
						}
					}
					for queue, fraction := range sum {
						b.ReportMetric(fraction, queue)
					}
				})
			}
		}
	}
}

// Guards against gangs that are served worse with learned run times than by estimates on
// hosts of different speed, where some work takes seven times as long as usual.
func TestMoreGangsAreInTimeOnUnevenHosts(t *testing.T) {
	var fractions []float64
	for _, learn := range []bool{false, true} {
		clusterFeatures.LearnRunTimes = learn
		p := newLearnedReplay(true, 0)
		fractions = append(fractions, p.run(0.8)["bundles"])
		clusterFeatures = Features{}
		checkViolations(t, p.c)
	}
	t.Logf("gangs in time: %.2f by estimates, %.2f by learned run times", fractions[0], fractions[1])
	if !slices.IsSorted(fractions) {
		t.Errorf("%.2f of the gangs are in time by estimates, %.2f by learned run times", fractions[0], fractions[1])
	}
}
