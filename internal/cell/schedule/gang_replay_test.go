package schedule

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
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

const (
	// replayArrivals is how long work arrives, and replayBurst by how much the load is higher
	// in the middle of that time.
	replayArrivals = 18 * time.Second
	replayBurst    = 1.5
)

// replayHeavyLoad replays a cell that is 89 % loaded with three kinds of work.
func replayHeavyLoad(t *testing.T, f Features) map[string]*replayResult {
	t.Helper()
	sum := make(map[string]*replayResult)
	for _, seed := range replaySeeds() {
		p := newReplay(replayOptions{
			hosts: 350, nodes: 37, load: 0.89, seed: seed, arrivals: replayArrivals, burst: replayBurst, burstFrom: 6 * time.Second, burstTo: 12 * time.Second, features: f,
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

// Shows the priority inversion of wide gangs that docs/design/hard-load.md describes.
func TestReplayOfHeavyLoad(t *testing.T) {
	replayHeavyLoad(t, Features{})
}

// Guards against broken rules while advice calls for gangs name more hosts, and logs what gangs
// get then.
func TestReplayOfHeavyLoadWithGangCapacity(t *testing.T) {
	replayHeavyLoad(t, Features{GangCapacity: true})
}
