package schedule

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// replayKind is a kind of work in the replay of a heavily loaded cell.
type replayKind struct {
	queue cell.Queue
	// share is its part of the offered core-seconds.
	share float64
	// count, cores and takes are the means of the width, of the size of a task and of how long
	// it runs. spread is the standard deviation of the logarithm of the run time.
	count  float64
	cores  float64
	takes  time.Duration
	spread float64
	// An estimate is off by a factor of up to 1 + estimateError either way.
	estimateError float64
	gang          bool
	// approved is the share of the hosts in a call that the advice service approves.
	approved float64
}

// replayKinds are those of the baseline measurements of docs/design/hard-load.md.
var replayKinds = []replayKind{
	{
		queue: cell.Queue{Name: "lookups", Priority: 0, Stretch: 1.5, Latency: 250 * time.Millisecond, Advice: replayAdvice(14300, 208)},
		share: 0.15, count: 3, cores: 9.9, takes: time.Second, spread: 0.3, estimateError: 0.5, approved: 0.7,
	},
	{
		queue: cell.Queue{Name: "bundles", Priority: 1, Stretch: 1.5, Latency: time.Second, Advice: replayAdvice(559_000, 8060)},
		share: 0.5, count: 20, cores: 18, takes: 5 * time.Second, spread: 0.15, estimateError: 0.2, gang: true, approved: 0.35,
	},
	{
		queue: cell.Queue{Name: "reconciliations", Priority: 2, Stretch: 3, Latency: 3 * time.Second, Advice: replayAdvice(104_000, 1430)},
		share: 0.35, count: 25, cores: 6.9, takes: 2200 * time.Millisecond, spread: 0.55, estimateError: 0.9, approved: 0.45,
	},
}

// replayWideKinds returns the kinds with some single tasks of the width, run time and advice of
// the gangs, at a lower priority.
func replayWideKinds() []replayKind {
	kinds := slices.Clone(replayKinds)
	wide := kinds[1]
	wide.queue.Name, wide.queue.Priority, wide.gang = "batches", 2, false
	wide.share = 0.05
	kinds[2].share -= wide.share
	return append(kinds, wide)
}

func replayAdvice(decisionUs, perHostUs int) *cell.AdvicePolicy {
	return &cell.AdvicePolicy{
		Decision: time.Duration(decisionUs) * time.Microsecond, PerHost: time.Duration(perHostUs) * time.Microsecond, Validity: 2500 * time.Millisecond,
	}
}

// rate returns how many submissions of the kind arrive in a second at a load in cores.
func (k *replayKind) rate(cores float64) float64 {
	return cores * k.share / (k.count * k.cores * k.takes.Seconds())
}

// around draws a factor of mean one whose logarithm has a standard deviation.
func around(r *rand.Rand, deviation float64) float64 {
	return math.Exp(deviation*r.NormFloat64() - deviation*deviation/2)
}

// draw draws a step and how long each of its tasks runs. Half of the variance of the run time
// is common to the tasks of a step.
func (k *replayKind) draw(r *rand.Rand) (cell.Step, []time.Duration) {
	common := k.takes.Seconds() * around(r, k.spread*math.Sqrt2/2)
	step := cell.Step{
		Count:    max(1, int(math.Round(k.count*around(r, 0.25)))),
		Size:     resource.Vector{MilliCPU: int64(1000 * min(k.cores*around(r, 0.1), 60)), MemoryMiB: 1024},
		Estimate: time.Duration(common * math.Pow(1+k.estimateError, 2*r.Float64()-1) * float64(time.Second)),
		Gang:     k.gang,
	}
	takes := make([]time.Duration, step.Count)
	longest := time.Duration(0)
	for i := range takes {
		takes[i] = time.Duration(common * around(r, k.spread*math.Sqrt2/2) * float64(time.Second))
		longest = max(longest, takes[i])
	}
	for i := range takes {
		if k.gang {
			takes[i] = longest // the slowest member determines when a gang ends
		}
	}
	return step, takes
}
