package scheduler

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/work"
)

// BenchmarkCancelWave cancels 10,000 of 20,000 waiting jobs during the first
// 100 ms of the simulated clock, while tasks end and others start. A batch of
// 1,000 cancellations precedes each Decide.
func BenchmarkCancelWave(bm *testing.B) {
	for _, load := range benchLoads {
		bm.Run("sizes="+load.name, func(bm *testing.B) {
			b := newBenchWithSizes(1600, 20000, 1, load.size)
			b.warmUp(20 * time.Second)
			b.cancelled = 0
			left, next := 10000, b.lastID
			b.measure(bm, func() {
				for n := min(left, 1000); n > 0 && next > 0; next-- {
					id := work.JobID(fmt.Sprintf("j%07d", next))
					if st, ok := b.s.Task(work.TaskID{Job: id}); ok && st.State == TaskQueued.String() {
						b.apply(JobCancelled{Job: id})
						n, left = n-1, left-1
					}
				}
			})
			bm.ReportMetric(float64(b.cancelled), "cancelled")
		})
	}
}

// BenchmarkSummary measures a summary with 20,000 waiting tasks on 1,600 hosts,
// after the changes of one Decide.
func BenchmarkSummary(bm *testing.B) {
	b := newBenchWithSizes(1600, 20000, 1, benchLoads[2].size)
	b.warmUp(20 * time.Second)
	spent := time.Duration(0)
	for bm.Loop() {
		b.warmUp(10 * time.Millisecond)
		t := time.Now()
		sum := b.s.Summary()
		spent += time.Since(t)
		if sum.Waiting == 0 {
			bm.Fatal("nothing waits")
		}
	}
	bm.ReportMetric(float64(spent.Nanoseconds())/1000/float64(bm.N), "us/summary")
}

// BenchmarkPolicies measures placement with a different size for nearly every
// job: ordered by shares, with age and shares weighted equally, and with every
// team at its limit.
func BenchmarkPolicies(bm *testing.B) {
	for _, v := range []struct {
		name   string
		weight int
		units  int64
	}{{"shares", 100, 1 << 30}, {"age", 50, 1 << 30}, {"limits", 100, 150}} {
		bm.Run(v.name, func(bm *testing.B) {
			b := newBenchWithSizes(1600, 20000, 1, benchLoads[2].size)
			c, units := benchContract(), map[string]int64{}
			c.Policy.ShareWeight = v.weight
			for name := range c.Limits {
				units[name] = v.units
			}
			b.s.Apply(0, ContractChanged{Contract: c})
			b.s.Apply(0, AllotmentsChanged{Units: units})
			b.warmUp(20 * time.Second)
			b.measure(bm, nil)
		})
	}
}

// BenchmarkShares measures how far teams are from their weighted share of the
// dominant resource after 30 s of the simulated clock on a full cluster.
func BenchmarkShares(bm *testing.B) {
	for bm.Loop() {
		b := newBench(1600, 20000, 1)
		b.warmUp(30 * time.Second)
		worst, sum := 0.0, 0.0
		for i := range benchTeams {
			name := fmt.Sprintf("t%02d", i)
			weights := 0.0
			for k := range benchTeams {
				weights += float64(1 + k%3)
			}
			used := b.usedByTeam[name]
			share := max(float64(used.MilliCPU)/float64(b.total.MilliCPU), float64(used.MemoryMiB)/float64(b.total.MemoryMiB))
			off := 100 * math.Abs(share*weights/float64(1+i%3)-1)
			worst, sum = max(worst, off), sum+off
		}
		bm.ReportMetric(worst, "worst-off-%")
		bm.ReportMetric(sum/benchTeams, "mean-off-%")
	}
}
