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

// gangTickInterval is the interval of the time events sent to the coordinators.
const gangTickInterval = 100 * time.Millisecond

// gangs holds the coordinators of the gangs that span several shards and whose
// first part is in a shard of this process. Their number is bounded by the
// ledger's limit on open jobs.
type gangs struct {
	node       *Node
	countGauge tally.Gauge

	mu          sync.Mutex
	coordinated map[work.JobID]*coordinatedGang
}

// coordinatedGang is one gang with its coordinator.
type coordinatedGang struct {
	job   work.JobID
	shard *ownedShard

	mu          sync.Mutex
	coordinator *ganghold.Coordinator
}

func newGangs(n *Node) *gangs {
	return &gangs{node: n, countGauge: n.scope.SubScope("gangs").Gauge("spanning"), coordinated: map[work.JobID]*coordinatedGang{}}
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

// add starts the coordination of a spanning gang whose first part is in the
// shard. It ignores all other jobs.
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
	g.coordinated[job.ID] = &coordinatedGang{job: job.ID, shard: o, coordinator: ganghold.New(config)}
}

// remove stops coordinating a gang.
func (g *gangs) remove(id work.JobID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.coordinated, id)
}

// removeShard stops coordinating all gangs whose first part is in the shard.
func (g *gangs) removeShard(o *ownedShard) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, r := range g.coordinated {
		if r.shard == o {
			delete(g.coordinated, id)
		}
	}
}

// isCurrent reports whether r still coordinates its gang and this process still
// has authority over its shard.
func (g *gangs) isCurrent(r *coordinatedGang) bool {
	g.mu.Lock()
	same := g.coordinated[r.job] == r
	g.mu.Unlock()
	return same && g.node.ownership.authority(r.shard.name, r.shard.token)
}

// dump returns the diagnostic state of all coordinators.
func (g *gangs) dump() []GangDump {
	var out []GangDump
	for _, r := range g.all() {
		r.mu.Lock()
		out = append(out, GangDump{r.job, r.coordinator.Dump()})
		r.mu.Unlock()
	}
	return out
}

// all returns the coordinated gangs, sorted by job.
func (g *gangs) all() []*coordinatedGang {
	g.mu.Lock()
	defer g.mu.Unlock()
	runs := make([]*coordinatedGang, 0, len(g.coordinated))
	for _, id := range slices.Sorted(maps.Keys(g.coordinated)) {
		runs = append(runs, g.coordinated[id])
	}
	return runs
}

// loop sends time events to the coordinators until ctx ends.
func (g *gangs) loop(ctx context.Context) {
	for ctxtime.Sleep(ctx, gangTickInterval) {
		runs := g.all()
		g.countGauge.Update(float64(len(runs)))
		for _, r := range runs {
			g.handle(r, ganghold.Tick{})
		}
	}
}

// handle passes one event to a coordinator and performs its actions. Each action
// runs in its own goroutine; a coordinator has at most two for each of its parts.
func (g *gangs) handle(r *coordinatedGang, e ganghold.Event) {
	if !g.isCurrent(r) {
		return
	}
	r.mu.Lock()
	actions := r.coordinator.Handle(g.node.clock.Now(), e)
	r.mu.Unlock()
	for _, a := range actions {
		go func() {
			if answer := g.node.performGangAction(r.job, a); answer != nil {
				g.handle(r, answer)
			}
		}()
	}
}
