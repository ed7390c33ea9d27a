package measure

import (
	"context"
	"maps"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/ctxtime"
)

const (
	// takeoverTimeout limits the wait for the takeover of the shards of a killed
	// owner.
	takeoverTimeout = 40 * time.Second
	// successorStartDelay is the time after a kill from which a start in a shard is
	// counted as one by the successor: by then the exchanges of the killed process
	// have ended.
	successorStartDelay = time.Second
)

// takeover kills the owner with the most shards under load. It waits until every
// one of its shards has been adopted and has started a task again, and then
// restarts the killed process.
func (tb *testbed) takeover(ctx context.Context) (*Takeover, error) {
	victim, shards := tb.mostShards(ctx)
	if len(shards) == 0 {
		return &Takeover{}, nil
	}
	executionsBefore := len(tb.cluster.Fleet.Journal().Executions())
	killed := tb.cluster.Fleet.Journal().Now()
	victim.kill()
	out := &Takeover{Shards: len(shards)}
	lastStart := killed
	adopted := map[string]time.Duration{}
	timeoutCtx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	allShards := maps.Clone(shards)
	for (len(shards) > 0 || len(adopted) < len(allShards)) && ctxtime.Sleep(timeoutCtx, pollInterval) {
		tb.recordAdopted(timeoutCtx, victim, allShards, adopted)
		for _, e := range tb.cluster.Fleet.Journal().Executions()[executionsBefore:] {
			for name, hosts := range shards {
				if hosts[e.Host] && e.Start > killed+successorStartDelay {
					delete(shards, name)
					lastStart = max(lastStart, e.Start)
				}
			}
		}
	}
	for _, at := range adopted {
		out.AdoptedSeconds = max(out.AdoptedSeconds, (at - killed).Seconds())
	}
	out.NotAdopted = len(allShards) - len(adopted)
	out.Seconds, out.NotRecovered = (lastStart - killed).Seconds(), len(shards)
	if err := victim.start(tb.o.Binary); err != nil {
		return out, err
	}
	if err := victim.awaitServing(); err != nil {
		return out, err
	}
	out.RestartSeconds = victim.startDuration.Seconds()
	return out, nil
}

// recordAdopted records when a successor had adopted all workers of a shard.
func (tb *testbed) recordAdopted(ctx context.Context, victim *process, allShards map[string]map[string]bool, adopted map[string]time.Duration) {
	for _, p := range tb.processes {
		if p == victim || len(adopted) == len(allShards) {
			continue
		}
		for _, s := range tb.dump(ctx, p).Shards {
			if _, ok := adopted[s.Shard]; ok || allShards[s.Shard] == nil {
				continue
			}
			n := 0
			for _, h := range s.Hosts {
				if h.Adopted {
					n++
				}
			}
			if n >= len(allShards[s.Shard]) {
				adopted[s.Shard] = tb.cluster.Fleet.Journal().Now()
			}
		}
	}
}

// mostShards returns the process with the most shards, and the hosts of each of
// its shards that has any.
func (tb *testbed) mostShards(ctx context.Context) (victim *process, shards map[string]map[string]bool) {
	for _, p := range tb.processes {
		d := tb.dump(ctx, p)
		if len(d.Shards) <= len(shards) {
			continue
		}
		victim, shards = p, map[string]map[string]bool{}
		for _, s := range d.Shards {
			hosts := map[string]bool{}
			for _, h := range s.Hosts {
				hosts[h.ID] = true
			}
			if len(hosts) > 0 {
				shards[s.Shard] = hosts
			}
		}
	}
	return victim, shards
}
