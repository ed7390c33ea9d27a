package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// baseline is a scheduler without a policy, for comparison: jobs start strictly
// in their order, on the first host that fits or, with random set, on the first
// one from a random position.
type baseline struct {
	free   []resource.Vector
	queue  []baselineTask
	random bool
	rnd    func(int) int
}

type baselineTask struct {
	size    resource.Vector
	runtime time.Duration
	added   time.Duration
}

// chooseHost returns the index of a host for size, or -1.
func (b *baseline) chooseHost(size resource.Vector) int {
	first := 0
	if b.random {
		first = b.rnd(len(b.free))
	}
	for k := range b.free {
		i := (first + k) % len(b.free)
		if size.Fits(b.free[i]) {
			return i
		}
	}
	return -1
}

// BenchmarkBaselines measures first fit and random fit in strict order under
// the load of BenchmarkPlacement.
func BenchmarkBaselines(bm *testing.B) {
	for _, random := range []bool{false, true} {
		bm.Run(fmt.Sprintf("random=%t", random), func(bm *testing.B) { runBaseline(bm, random) })
	}
}

func runBaseline(bm *testing.B, randomFit bool) {
	b := &baseline{random: randomFit, rnd: newRandom(1)}
	m := newModel(Options{}, b.rnd)
	var total, used resource.Vector
	for _, h := range benchHosts(1600) {
		b.free = append(b.free, h.Capacity)
		total = total.Add(h.Capacity)
	}
	add := func() {
		b.queue = append(b.queue, baselineTask{size: benchSizes[b.rnd(len(benchSizes))], runtime: time.Duration(2000+b.rnd(8000)) * time.Millisecond, added: m.now})
	}
	for range 20000 {
		add()
	}
	spent, starts := time.Duration(0), 0
	step := func() {
		for {
			t := b.queue[0]
			at := time.Now()
			i := b.chooseHost(t.size)
			spent += time.Since(at)
			if i < 0 {
				break
			}
			starts++
			b.queue = b.queue[1:]
			b.free[i] = b.free[i].Sub(t.size)
			used = used.Add(t.size)
			m.schedule(t.runtime, func() { b.free[i] = b.free[i].Add(t.size); used = used.Sub(t.size) })
			add()
		}
		m.now += 10 * time.Millisecond
		for len(m.queue) > 0 && m.queue[0].at <= m.now {
			m.pop().do()
		}
	}
	for m.now < 20*time.Second {
		step()
	}
	spent, starts = 0, 0
	for bm.Loop() {
		step()
	}
	bm.ReportMetric(float64(spent.Nanoseconds())/1000/float64(max(starts, 1)), "us/placement")
	bm.ReportMetric(100*max(float64(used.MilliCPU)/float64(total.MilliCPU), float64(used.MemoryMiB)/float64(total.MemoryMiB)), "packing-%")
}
