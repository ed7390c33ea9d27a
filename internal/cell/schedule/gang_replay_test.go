package schedule

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	// replayArrivals is how long work arrives, and replayBurst by how much the load is higher
	// in the middle of that time in the replay of a burst.
	replayArrivals = 18 * time.Second
	replayBurst    = 1.5
)

// replaySeeds returns the seeds of the replays; REPLAY_SEEDS sets how many, for measurements.
func replaySeeds() (out []uint64) {
	n, err := strconv.Atoi(os.Getenv("REPLAY_SEEDS"))
	if err != nil {
		n = 1
	}
	for i := range n {
		out = append(out, uint64(i+1))
	}
	return out
}

// replayHeavyLoad replays a cell that is 89 % loaded with three kinds of work, and returns the
// results by the name of the queue.
func replayHeavyLoad(t *testing.T, f Features, burst float64) map[string]*replayResult {
	t.Helper()
	sum := make(map[string]*replayResult)
	for _, seed := range replaySeeds() {
		p := newReplay(replayOptions{
			hosts: 350, nodes: 37, load: 0.89, seed: seed, arrivals: replayArrivals, burst: burst, burstFrom: 6 * time.Second, burstTo: 12 * time.Second, features: f,
		})
		p.run(40 * time.Second)
		for _, v := range p.violations {
			t.Error(v)
		}
		for name, r := range p.results(2 * time.Second) {
			if sum[name] == nil {
				sum[name] = &replayResult{}
			}
			sum[name].merge(r)
		}
		t.Logf("seed %d: %d stops, %.1f nodes with an advice call, %.2f of the cores used", seed, p.stops,
			p.callTimes.Seconds()/(p.now-p.started).Seconds(), p.usedCores/(replayArrivals.Seconds()*64*350))
	}
	for _, name := range strings.Fields("lookups bundles reconciliations all") {
		t.Logf("%-16s%s", name, sum[name])
	}
	return sum
}

// Shows the priority inversion of wide gangs that docs/design/hard-load.md describes, with the
// switches off.
func TestReplayOfHeavyLoad(t *testing.T) {
	t.Run("steady", func(t *testing.T) { replayHeavyLoad(t, Features{}, 1) })
	t.Run("burst", func(t *testing.T) { replayHeavyLoad(t, Features{}, replayBurst) })
}

// Guards against gangs that wait for the few hosts of one short advice call, and for hosts that
// single tasks have broken into, and against urgent work that pays for it.
func TestReplayOfHeavyLoadWithGangCapacity(t *testing.T) {
	for name, burst := range map[string]float64{"steady": 1, "burst": replayBurst} {
		t.Run(name, func(t *testing.T) {
			before, after := replayHeavyLoad(t, Features{}, burst), replayHeavyLoad(t, Features{GangCapacity: true}, burst)
			if b, a := before["all"], after["all"]; a.inTime <= b.inTime || a.ofUse < b.ofUse {
				t.Errorf("%.0f core-seconds end in time and %.0f in three times the objective, before %.0f and %.0f", a.inTime, a.ofUse, b.inTime, b.ofUse)
			}
			if b, a := before["bundles"], after["bundles"]; a.inTime <= b.inTime || quantile(a.waits, 0.5) >= quantile(b.waits, 0.5) {
				t.Errorf("the gangs get no more than before")
			}
			if b, a := quantile(before["lookups"].waits, 0.9), quantile(after["lookups"].waits, 0.9); a > b+2*replayTick { // the replay decides once in a tick
				t.Errorf("urgent work starts after %s (90th percentile), before %s", a, b)
			}
		})
	}
}

// Runs the replay with the switches on alone, for measurements.
func TestReplayMeasurement(t *testing.T) {
	if os.Getenv("REPLAY_SEEDS") == "" {
		t.Skip("measures only with REPLAY_SEEDS")
	}
	f := Features{GangCapacity: true, Preemption: os.Getenv("REPLAY_PREEMPTION") != ""}
	t.Run("steady", func(t *testing.T) { replayHeavyLoad(t, f, 1) })
	t.Run("burst", func(t *testing.T) { replayHeavyLoad(t, f, replayBurst) })
}
