package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/runtimes"
)

// learn switches the learning of run times on, with runs of the given queues that have ended
// on hosts of different speeds.
func (c *cluster) learn(queues map[string]time.Duration) {
	c.s.learning = newLearning(Features{LearnRunTimes: true})
	for i, h := range c.s.sortedHosts {
		h.health.slowness = 0.9 + float64(i%3)/10
	}
	for queue, took := range queues {
		for i := range 200 {
			d := time.Duration(float64(took) * (0.5 + float64(i%20)/20))
			c.s.learning.model.Observe(runtimes.Key{Queue: queue}, runtimes.Run{Estimate: took, Took: d, HostSpeed: 1, Host: fmt.Sprintf("h%02d", i)}, false)
		}
	}
}

// BenchmarkDecideFullCellLearned is BenchmarkDecideFullCell with learned run times.
func BenchmarkDecideFullCellLearned(b *testing.B) {
	for _, waiting := range []int{1000, 6000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			c := backlog(waiting)
			c.learn(map[string]time.Duration{"urgent": time.Second, "wide": 6 * time.Second, "many": 3 * time.Second})
			benchmarkFullCell(b, c)
		})
	}
}
