package node

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"

	"github.com/medlarpulley/medlarpulley/internal/ctxtime"
	"github.com/medlarpulley/medlarpulley/internal/ganghold"
	"github.com/medlarpulley/medlarpulley/internal/ledger"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// gangTick is how often the coordinators see the time pass.
const gangTick = 100 * time.Millisecond

// gangs holds the coordinators of the spanning gangs whose first part is in a
// shard of this process. The ledger's bound on open jobs bounds them.
type gangs struct {
	node  *Node
	count tally.Gauge

	mu   sync.Mutex
	runs map[work.JobID]*gangRun
}

// gangRun is the coordinator of one gang.
type gangRun struct {
	job   work.JobID
	shard *ownedShard

	mu          sync.Mutex
	coordinator *ganghold.Coordinator
}

func newGangs(n *Node) *gangs {
	return &gangs{node: n, count: n.scope.SubScope("gangs").Gauge("spanning"), runs: map[work.JobID]*gangRun{}}
}

// spanning reports whether a job is a gang with parts in several shards.
func spanning(job work.Job, parts []ledger.Part) bool {
	for _, p := range parts {
		if p.Shard != parts[0].Shard {
			return job.Kind == work.Gang
		}
	}
	return false
}

// add starts to coordinate a gang whose first part is in the shard.
func (g *gangs) add(o *ownedShard, job work.Job, parts []ledger.Part) {
	if !spanning(job, parts) || parts[0].Shard != o.name {
		return
	}
	var names []string
	for _, p := range parts {
		names = append(names, p.Shard)
	}
	n := g.node
	config := ganghold.Config{
		Shards: names, Token: o.token, Incarnation: uint64(n.clock.Now()), Idempotent: job.Idempotent,
		Seed: xxhash.Sum64String(string(job.ID)) ^ n.incarnation,
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.runs[job.ID] = &gangRun{job: job.ID, shard: o, coordinator: ganghold.New(config)}
}

// remove ends the coordination of a gang.
func (g *gangs) remove(id work.JobID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.runs, id)
}

// removeShard ends the coordination of all gangs of a shard.
func (g *gangs) removeShard(o *ownedShard) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, r := range g.runs {
		if r.shard == o {
			delete(g.runs, id)
		}
	}
}

// current reports whether a run still coordinates its gang, with authority.
func (g *gangs) current(r *gangRun) bool {
	g.mu.Lock()
	same := g.runs[r.job] == r
	g.mu.Unlock()
	return same && g.node.owner.authority(r.shard.name, r.shard.token)
}

// dump returns the states of all coordinators.
func (g *gangs) dump() []GangDump {
	var out []GangDump
	for _, r := range g.all() {
		r.mu.Lock()
		out = append(out, GangDump{r.job, r.coordinator.Dump()})
		r.mu.Unlock()
	}
	return out
}

// all returns the runs, sorted by job.
func (g *gangs) all() []*gangRun {
	g.mu.Lock()
	defer g.mu.Unlock()
	runs := make([]*gangRun, 0, len(g.runs))
	for _, id := range slices.Sorted(maps.Keys(g.runs)) {
		runs = append(runs, g.runs[id])
	}
	return runs
}

// loop lets time pass for the coordinators.
func (g *gangs) loop(ctx context.Context) {
	for ctxtime.Sleep(ctx, gangTick) {
		runs := g.all()
		g.count.Update(float64(len(runs)))
		for _, r := range runs {
			g.handle(r, ganghold.Tick{})
		}
	}
}

// handle feeds one event to a coordinator and carries out its actions. Each
// action runs on its own; a coordinator has at most two for each of its parts.
func (g *gangs) handle(r *gangRun, e ganghold.Event) {
	if !g.current(r) {
		return
	}
	r.mu.Lock()
	actions := r.coordinator.Handle(g.node.clock.Now(), e)
	r.mu.Unlock()
	for _, a := range actions {
		go func() {
			if answer := g.node.sendGang(r.job, a); answer != nil {
				g.handle(r, answer)
			}
		}()
	}
}
