package ownership

import (
	"fmt"
	"sync"
	"testing"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"
)

// The bounds of one exploration from one seed, in states. The first one is
// above what the search for a missing promise needs, so that the search
// without faults covers the same depth.
const (
	exploreLimit     = 60_000
	exploreSideLimit = 4_000
	exploreWorkers   = 4
)

// budget bounds the events of each kind on one path. Separate budgets let
// each exploration go deeper than one with all kinds at once.
type budget struct {
	changes, pauses, restarts int
	starts                    bool
}

type explored struct {
	w     *world
	trace []string
}

// allMasks are all ways to cut nodes off from the log; cutOwner are those in
// which only one node other than the owner, which is n0, still reads it.
var (
	allMasks = []int{0, 1, 2, 3, 4, 5, 6, 7}
	cutOwner = []int{2, 4}
)

// seeds are the worlds three steps after a part of the nodes lost the log.
func seeds(f faults, masks ...int) []explored {
	var out []explored
	for _, mask := range masks {
		w := newWorld(f)
		for range 6 {
			w.step(-1)
		}
		w.setLog(mask)
		w.messages = nil
		for range 3 {
			w.step(-1)
		}
		out = append(out, explored{w, []string{fmt.Sprintf("log %03b, three steps", mask)}})
	}
	return out
}

func (w *world) setLog(mask int) {
	for i := range w.up {
		w.up[i] = mask&(1<<i) != 0
	}
}

// successors returns every world that one event leads to.
func successors(w *world, limit budget) []explored {
	var out []explored
	add := func(label string, change func(c *world) bool) {
		c := w.clone()
		if change(c) {
			out = append(out, explored{c, []string{label}})
		}
	}
	for k := range w.messages {
		m := w.messages[k]
		add(fmt.Sprintf("deliver %T%T to %d", m.event, m.land, m.to), func(c *world) bool { c.deliver(k); return true })
	}
	add("step", func(c *world) bool { c.step(-1); return true })
	for i := range modelNodes {
		add(fmt.Sprintf("start by n%d", i), func(c *world) bool { return limit.starts && c.start(i) })
		add(fmt.Sprintf("step with n%d paused", i), func(c *world) bool { c.step(i); c.pauses++; return w.pauses < limit.pauses })
		add(fmt.Sprintf("restart n%d", i), func(c *world) bool { c.boot(i); c.restarts++; return w.restarts < limit.restarts })
	}
	for i := range modelNodes {
		add(fmt.Sprintf("log of n%d changes", i), func(c *world) bool {
			c.up[i] = !c.up[i]
			c.changes++
			return w.changes < limit.changes
		})
	}
	return out
}

// explore searches breadth first and returns the number of states, the depth
// that was searched completely, and the trace of a violation.
func explore(seed explored, b budget, limit int) (states, depth int, trace []string) {
	seen := map[uint64]bool{}
	frontier := []explored{seed}
	for len(frontier) > 0 {
		var next []explored
		for _, e := range frontier {
			for _, s := range successors(e.w, b) {
				key := xxhash.Sum64String(s.w.key())
				if seen[key] {
					continue
				}
				seen[key] = true
				path := append(append([]string{}, e.trace...), s.trace...)
				if why := s.w.broken(); why != "" {
					return len(seen), depth + 1, append(path, why)
				}
				if len(seen) >= limit {
					return len(seen), depth, nil
				}
				next = append(next, explored{s.w, path})
			}
		}
		depth++
		frontier = next
	}
	return len(seen), depth, nil
}

// result sums up the explorations from all seeds.
type result struct {
	states int
	depths []int
	trace  []string
}

func exploreAll(f faults, b budget, limit int, masks ...int) result {
	all := seeds(f, masks...)
	r := result{depths: make([]int, len(all))}
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(exploreWorkers)
	for i, seed := range all {
		g.Go(func() error {
			states, depth, trace := explore(seed, b, limit)
			mu.Lock()
			defer mu.Unlock()
			r.states += states
			r.depths[i] = depth
			if trace != nil && (r.trace == nil || len(trace) < len(r.trace)) {
				r.trace = trace
			}
			return nil
		})
	}
	_ = g.Wait() // No exploration returns an error.
	return r
}

// Guards against two owners of one shard, and a task that runs twice, in any
// order of outages, pauses, restarts, losses and delays within the bound.
func TestExplorationFindsNoSecondOwner(t *testing.T) {
	for _, c := range []struct {
		budget
		limit int
		masks []int
	}{
		{budget{changes: 1}, exploreLimit, cutOwner},
		{budget{changes: 1}, exploreSideLimit, allMasks},
		{budget{pauses: 1}, exploreSideLimit, allMasks},
		{budget{restarts: 1}, exploreSideLimit, allMasks},
		{budget{starts: true}, exploreSideLimit, allMasks},
		{budget{1, 1, 1, true}, exploreSideLimit, allMasks},
	} {
		r := exploreAll(faults{}, c.budget, c.limit, c.masks...)
		if r.trace != nil {
			t.Errorf("%+v: violation: %q", c.budget, r.trace)
		}
		t.Logf("%+v: %d states, complete to depths %v after the seeds", c.budget, r.states, r.depths)
	}
}

// Guards against an exploration that cannot find anything: each rule that is
// switched off must lead to a violation.
func TestExplorationFindsMissingRules(t *testing.T) {
	for label, f := range map[string]faults{
		"acknowledgements": {ignoreAcks: true},
		"promise":          {ignorePromise: true},
	} {
		t.Run(label, func(t *testing.T) {
			r := exploreAll(f, budget{changes: 1}, exploreLimit, cutOwner...)
			if r.trace == nil {
				t.Fatalf("no violation in %d states", r.states)
			}
			t.Logf("%d states, depths %v: %q", r.states, r.depths, r.trace)
		})
	}
}

// Guards against an exploration of worlds in which no takeover can happen.
func TestSeedsHaveOwnerAndTakeover(t *testing.T) {
	w := newWorld(faults{})
	for range 6 {
		w.step(-1)
	}
	owner := w.book.state.Holdings[modelShard].Owner
	if _, _, ok := w.nodes[index(owner.Node)].m.Authority(modelShard, w.now); !ok {
		t.Fatalf("no owner: %+v", w.book.state)
	}
	w.up[index(owner.Node)] = false
	for range 8 {
		w.step(-1)
		for len(w.messages) > 0 {
			w.deliver(0)
		}
	}
	for i := range w.nodes {
		if _, _, ok := w.nodes[i].m.Authority(modelShard, w.now); ok && name(i) != owner.Node {
			return
		}
	}
	t.Fatalf("nobody took over from %v: %+v", owner, w.book.state.Holdings)
}
