package runtimes

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var testKey = Key{Queue: "reconciliations"}

// reconciliation returns a duration as those of the utility's reconciliations: 2.0 s at the
// median, 4.3 s at the 90th and about 7.4 s at the 99th percentile.
func reconciliation(r *rand.Rand) time.Duration {
	return time.Duration(2 * math.Exp(0.58*r.NormFloat64()) * float64(time.Second))
}

// off returns a duration that differs by up to a factor of 1 + error from a given one.
func off(r *rand.Rand, d time.Duration, err float64) time.Duration {
	return time.Duration(float64(d) * math.Pow(1+err, 2*r.Float64()-1))
}

func seeded() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// near reports an error unless a duration is within a fraction of what is wanted.
func near(t *testing.T, what string, got, want time.Duration, within float64) {
	t.Helper()
	if math.Abs(float64(got)/float64(want)-1) > within {
		t.Errorf("%s is %s, want %s within %.0f %%", what, got.Round(time.Millisecond), want.Round(time.Millisecond), 100*within)
	}
}

func hostName(i int) string { return fmt.Sprintf("h%03d", i) }

// observeMany adds n runs on different hosts of normal speed.
func observeMany(m *Model, n int, run func(i int) (took, estimate time.Duration)) {
	for i := range n {
		took, estimate := run(i)
		m.Observe(testKey, Run{Took: took, Estimate: estimate, HostSpeed: 1, Host: hostName(i % 100)}, false)
	}
}
