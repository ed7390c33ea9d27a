package schedule

import (
	"os"
	"strconv"
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

// replayHeavyLoad replays a cell that is 89 % loaded with several kinds of work, once for each
// seed, and returns the results by the name of the queue.
func replayHeavyLoad(t *testing.T, o replayOptions) (map[string]*replayResult, *replayTotals) {
	t.Helper()
	sum, totals := make(map[string]*replayResult), &replayTotals{}
	o.hosts, o.nodes, o.load, o.arrivals = 350, 37, 0.89, replayArrivals
	for _, o.seed = range replaySeeds() {
		p := newReplay(o)
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
		totals.merge(p.totals)
	}
	for _, k := range o.kinds {
		t.Logf("%-16s%s", k.queue.Name, sum[k.queue.Name])
	}
	t.Logf("%-16s%s", "all", sum["all"])
	t.Log(totals)
	return sum, totals
}

// withBurst adds a burst to a replay.
func (o replayOptions) withBurst() replayOptions {
	o.burst, o.burstFrom, o.burstTo = replayBurst, 6*time.Second, 12*time.Second
	return o
}

// Shows the priority inversion of wide gangs that docs/design/hard-load.md describes.
func TestReplayOfHeavyLoad(t *testing.T) {
	replayHeavyLoad(t, replayOptions{kinds: replayKinds}.withBurst())
}

// Guards against broken rules while advice calls for gangs name more hosts, and logs what gangs
// get then.
func TestReplayOfHeavyLoadWithGangCapacity(t *testing.T) {
	replayHeavyLoad(t, replayOptions{kinds: replayKinds, features: Features{GangCapacity: true}}.withBurst())
}

// Guards against gangs that wait longer than before, or take more of the nodes' time for advice
// calls, also while a third of the nodes is cut off. Logs their wait beside that of single tasks
// of a lower priority and the same width.
func TestReplayOfGangsBesideWideTasks(t *testing.T) {
	steady := replayOptions{kinds: replayWideKinds(), burst: 1}
	cases := map[string]replayOptions{"burst": steady.withBurst()}
	if len(replaySeeds()) > 1 { // for measurements
		cases["steady"] = steady
		for _, name := range []string{"steady", "burst"} {
			o := cases[name]
			o.features.LearnRunTimes = true
			cases[name+", learned"] = o
		}
	}
	for name, o := range cases {
		o.cut, o.cutFrom, o.cutTo = 13, 6*time.Second, 12*time.Second
		t.Run(name, func(t *testing.T) {
			before, callsBefore := replayHeavyLoad(t, o)
			o.features.GangCapacity = true
			after, callsAfter := replayHeavyLoad(t, o)
			gangs, gangsBefore := after["bundles"], before["bundles"]
			single := after["batches"]
			t.Logf("time in calls %.2f times that without; waits of gangs %.2f and %.2f times those of single tasks (median, p90)",
				callsAfter.callTime().Seconds()/callsBefore.callTime().Seconds(), quantile(gangs.whole, 0.5).Seconds()/quantile(single.whole, 0.5).Seconds(),
				quantile(gangs.whole, 0.9).Seconds()/quantile(single.whole, 0.9).Seconds())
			if callsAfter.callTime() > callsBefore.callTime() {
				t.Errorf("%s of advice calls, %s without gang capacity", callsAfter.callTime(), callsBefore.callTime())
			}
			if gangs.inTime <= gangsBefore.inTime {
				t.Errorf("%.0f core-seconds of gangs end in time, %.0f without gang capacity", gangs.inTime, gangsBefore.inTime)
			}
		})
	}
}
