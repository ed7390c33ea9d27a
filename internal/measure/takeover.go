package measure

import (
	"context"
	"time"
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
	ctx2, cancel := context.WithTimeout(ctx, takeoverLimit)
	defer cancel()
	for len(shards) > 0 && sleep(ctx2, poll) {
		for _, e := range l.cluster.Fleet.Journal().Executions()[seen:] {
			for name, hosts := range shards {
				if hosts[e.Host] && e.Start > killed+settled {
					delete(shards, name)
					last = max(last, e.Start)
				}
			}
		}
	}
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
