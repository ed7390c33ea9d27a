package ownership

import (
	"fmt"
	"sync"
	"testing"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"
)

// Bounds of the exploration from one seed, in states. deepSearchMaxStates is
// larger than what the search for a disabled promise needs, so that the search
// with all rules enabled covers the same depth.
const (
	deepSearchMaxStates    = 60_000
	shallowSearchMaxStates = 4_000
	searchWorkers          = 4
)

// faultBudget bounds the events of each kind on one path. With separate budgets
// each exploration goes deeper than one with all kinds at once.
type faultBudget struct {
	changes, pauses, restarts int
	starts                    bool
}

type searchNode struct {
	model *clusterModel
	trace []string
}

// allLogMasks are all sets of nodes that can reach the log, as bit masks;
// ownerCutOffMasks are those in which only one node other than the owner n0 can.
var (
	allLogMasks      = []int{0, 1, 2, 3, 4, 5, 6, 7}
	ownerCutOffMasks = []int{2, 4}
)

// searchSeeds returns the models three steps after only the nodes in each mask
// can reach the log.
func searchSeeds(f disabledRules, masks ...int) []searchNode {
	var out []searchNode
	for _, mask := range masks {
		model := newClusterModel(f)
		for range 6 {
			model.step(-1)
		}
		model.setLogReachable(mask)
		model.messages = nil
		for range 3 {
			model.step(-1)
		}
		out = append(out, searchNode{model, []string{fmt.Sprintf("log %03b, three steps", mask)}})
	}
	return out
}

// setLogReachable lets only the nodes in the bit mask reach the log.
func (model *clusterModel) setLogReachable(mask int) {
	for i := range model.logReachable {
		model.logReachable[i] = mask&(1<<i) != 0
	}
}

// successors returns every model state that one event leads to.
func successors(model *clusterModel, limit faultBudget) []searchNode {
	var out []searchNode
	add := func(label string, change func(c *clusterModel) bool) {
		c := model.clone()
		if change(c) {
			out = append(out, searchNode{c, []string{label}})
		}
	}
	for k := range model.messages {
		m := model.messages[k]
		add(fmt.Sprintf("deliver %T%T to %d", m.event, m.appended, m.to), func(c *clusterModel) bool { c.deliver(k); return true })
	}
	add("step", func(c *clusterModel) bool { c.step(-1); return true })
	for i := range modelNodes {
		add(fmt.Sprintf("start by n%d", i), func(c *clusterModel) bool { return limit.starts && c.startTask(i) })
		add(fmt.Sprintf("step with n%d paused", i), func(c *clusterModel) bool { c.step(i); c.pauses++; return model.pauses < limit.pauses })
		add(fmt.Sprintf("restart n%d", i), func(c *clusterModel) bool { c.startNode(i); c.restarts++; return model.restarts < limit.restarts })
	}
	for i := range modelNodes {
		add(fmt.Sprintf("log of n%d changes", i), func(c *clusterModel) bool {
			c.logReachable[i] = !c.logReachable[i]
			c.changes++
			return model.changes < limit.changes
		})
	}
	return out
}

// explore searches breadth first and returns the number of states, the depth
// that was searched completely, and the trace to the first violation, if any.
func explore(seed searchNode, b faultBudget, limit int) (states, depth int, trace []string) {
	seen := map[uint64]bool{}
	frontier := []searchNode{seed}
	for len(frontier) > 0 {
		var next []searchNode
		for _, e := range frontier {
			for _, s := range successors(e.model, b) {
				key := xxhash.Sum64String(s.model.stateKey())
				if seen[key] {
					continue
				}
				seen[key] = true
				path := append(append([]string{}, e.trace...), s.trace...)
				if why := s.model.violation(); why != "" {
					return len(seen), depth + 1, append(path, why)
				}
				if len(seen) >= limit {
					return len(seen), depth, nil
				}
				next = append(next, searchNode{s.model, path})
			}
		}
		depth++
		frontier = next
	}
	return len(seen), depth, nil
}

// searchResult combines the explorations from all seeds.
type searchResult struct {
	states int
	depths []int
	trace  []string
}

func exploreAll(f disabledRules, b faultBudget, limit int, masks ...int) searchResult {
	all := searchSeeds(f, masks...)
	r := searchResult{depths: make([]int, len(all))}
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(searchWorkers)
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
	_ = g.Wait() // The functions return no errors.
	return r
}

// Guards against two owners of one shard, and a task that runs twice, in any
// order of log outages, pauses, restarts, message losses and delays within the
// bounds.
func TestExplorationFindsNoSecondOwner(t *testing.T) {
	for _, c := range []struct {
		faultBudget
		limit int
		masks []int
	}{
		{faultBudget{changes: 1}, deepSearchMaxStates, ownerCutOffMasks},
		{faultBudget{changes: 1}, shallowSearchMaxStates, allLogMasks},
		{faultBudget{pauses: 1}, shallowSearchMaxStates, allLogMasks},
		{faultBudget{restarts: 1}, shallowSearchMaxStates, allLogMasks},
		{faultBudget{starts: true}, shallowSearchMaxStates, allLogMasks},
		{faultBudget{1, 1, 1, true}, shallowSearchMaxStates, allLogMasks},
	} {
		r := exploreAll(disabledRules{}, c.faultBudget, c.limit, c.masks...)
		if r.trace != nil {
			t.Errorf("%+v: violation: %q", c.faultBudget, r.trace)
		}
		t.Logf("%+v: %d states, complete to depths %v after the seeds", c.faultBudget, r.states, r.depths)
	}
}

// Guards against an exploration that cannot detect a violation: it must find one
// for each rule that is switched off.
func TestExplorationFindsViolationOfDisabledRules(t *testing.T) {
	for label, f := range map[string]disabledRules{
		"acknowledgements": {ignoreAcks: true},
		"promise":          {ignorePromise: true},
	} {
		t.Run(label, func(t *testing.T) {
			r := exploreAll(f, faultBudget{changes: 1}, deepSearchMaxStates, ownerCutOffMasks...)
			if r.trace == nil {
				t.Fatalf("no violation in %d states", r.states)
			}
			t.Logf("%d states, depths %v: %q", r.states, r.depths, r.trace)
		})
	}
}

// Guards against an exploration of states from which no takeover can happen.
func TestSeedsAllowTakeover(t *testing.T) {
	model := newClusterModel(disabledRules{})
	for range 6 {
		model.step(-1)
	}
	owner := model.stateMachine.state.Holdings[modelShard].Owner
	if _, _, ok := model.nodes[nodeIndex(owner.Node)].m.Authority(modelShard, model.now); !ok {
		t.Fatalf("no owner: %+v", model.stateMachine.state)
	}
	model.logReachable[nodeIndex(owner.Node)] = false
	for range 8 {
		model.step(-1)
		for len(model.messages) > 0 {
			model.deliver(0)
		}
	}
	for i := range model.nodes {
		if _, _, ok := model.nodes[i].m.Authority(modelShard, model.now); ok && nodeName(i) != owner.Node {
			return
		}
	}
	t.Fatalf("no node took over from %v: %+v", owner, model.stateMachine.state.Holdings)
}
