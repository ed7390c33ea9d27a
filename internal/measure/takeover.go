package measure

import (
	"context"
	"maps"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/ctxtime"
)

const (
	// takeoverLimit bounds the wait for the shards of a killed owner.
	takeoverLimit = 40 * time.Second
	// settled is the time after a kill from which on a start in a shard is that
	// of the successor: exchanges of the killed process have ended.
	settled = time.Second
)

// takeover kills the owner with the most shards under load and waits until
// every one of its shards has started a task again.
func (l *lab) takeover(ctx context.Context) (*Takeover, error) {
	victim, shards := l.mostShards(ctx)
	if len(shards) == 0 {
		return &Takeover{}, nil
	}
	seen := len(l.cluster.Fleet.Journal().Executions())
	killed := l.cluster.Fleet.Journal().Now()
	victim.kill()
	out := &Takeover{Shards: len(shards)}
	last := killed
	adopted := map[string]time.Duration{}
	ctx2, cancel := context.WithTimeout(ctx, takeoverLimit)
	defer cancel()
	wanted := maps.Clone(shards)
	for (len(shards) > 0 || len(adopted) < len(wanted)) && ctxtime.Sleep(ctx2, poll) {
		l.noteAdopted(ctx2, victim, wanted, adopted)
		for _, e := range l.cluster.Fleet.Journal().Executions()[seen:] {
			for name, hosts := range shards {
				if hosts[e.Host] && e.Start > killed+settled {
					delete(shards, name)
					last = max(last, e.Start)
				}
			}
		}
	}
	for _, at := range adopted {
		out.AdoptedSeconds = max(out.AdoptedSeconds, (at - killed).Seconds())
	}
	out.NotAdopted = len(wanted) - len(adopted)
	out.Seconds, out.NotBack = (last - killed).Seconds(), len(shards)
	if err := victim.start(l.o.Binary); err != nil {
		return out, err
	}
	if err := victim.await(); err != nil {
		return out, err
	}
	out.RebuildSeconds = victim.rebuild.Seconds()
	return out, nil
}

// noteAdopted notes the shards whose every worker a successor has adopted.
func (l *lab) noteAdopted(ctx context.Context, victim *process, wanted map[string]map[string]bool, adopted map[string]time.Duration) {
	for _, p := range l.processes {
		if p == victim || len(adopted) == len(wanted) {
			continue
		}
		for _, s := range l.dump(ctx, p).Shards {
			if _, ok := adopted[s.Shard]; ok || wanted[s.Shard] == nil {
				continue
			}
			n := 0
			for _, h := range s.Hosts {
				if h.Adopted {
					n++
				}
			}
			if n >= len(wanted[s.Shard]) {
				adopted[s.Shard] = l.cluster.Fleet.Journal().Now()
			}
		}
	}
}

// mostShards returns the process with the most shards and the hosts of each.
func (l *lab) mostShards(ctx context.Context) (victim *process, shards map[string]map[string]bool) {
	for _, p := range l.processes {
		d := l.dump(ctx, p)
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
