package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/membership"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
)

// Guards against a cell that stays without an owner for longer than the target,
// against a claim while the owner is alive, and against a claim by a node whose
// own reads have stopped.
func TestElection(t *testing.T) {
	const now = 100 * time.Second
	nodes := map[string]membership.Node{"a": {Name: "a", InstanceID: "a1"}, "b": {Name: "b", InstanceID: "b1"}}
	held := registry.Ownership{Node: "a", InstanceID: "a1", Token: 4}
	for _, c := range []struct {
		name      string
		owner     registry.Ownership
		silentFor time.Duration
		readAge   time.Duration
		change    func(*electionInput)
		want      bool
	}{
		{"owner is alive", held, 500 * time.Millisecond, 0, nil, false},
		{"owner has timed out", held, 2 * time.Second, 100 * time.Millisecond, nil, true},
		{"this node has no recent read", held, 2 * time.Second, 2 * time.Second, nil, false},
		{"owner has released", registry.Ownership{Node: "a", InstanceID: "a1", Token: 4, Released: true}, 0, 0, nil, true},
		{"owner has asked the others to take over", held, 0, 0, func(v *electionInput) { v.takeoverToken = 4 }, true},
		{"owner's machine refuses connections", held, 0, 0, func(v *electionInput) { v.exitedOwnerInstance = "a1" }, true},
		{"an earlier owner's machine refused connections", held, 0, 0, func(v *electionInput) { v.exitedOwnerInstance = "a0" }, false},
		{"an earlier owner had asked the others to take over", held, 0, 0, func(v *electionInput) { v.takeoverToken = 3 }, false},
		{"owner's process was replaced", registry.Ownership{Node: "a", InstanceID: "a0", Token: 4}, 0, 0, nil, true},
		{"this process is the owner", registry.Ownership{Node: "b", InstanceID: "b1", Token: 4}, 5 * time.Second, 0, nil, false},
		{"an earlier process of this node was the owner", registry.Ownership{Node: "b", InstanceID: "b0", Token: 4}, 0, 0, nil, true},
	} {
		e := &election{self: nodes["b"], ownerWrites: 9, lastOwnerWriteAt: now - c.silentFor}
		v := electionInput{owner: c.owner, ownerWrites: 9, nodes: nodes, followers: []membership.Node{nodes["a"], nodes["b"]}, asOf: now - c.readAge}
		if c.change != nil {
			c.change(&v)
		}
		e.shouldClaim(now, v)
		if got := e.shouldClaim(now+freeOwnershipRankDelay, v); got != c.want {
			t.Errorf("%s: shouldClaim is %t, want %t", c.name, got, c.want)
		}
	}
}

// Guards against a node with few cores that owns the cell while nodes with more
// cores are available, and against candidates that all claim at the same moment.
func TestRanksDifferAndPreferMoreCores(t *testing.T) {
	v := electionInput{owner: registry.Ownership{Node: "gone", InstanceID: "x", Token: 1}}
	for i := range 10 {
		name := fmt.Sprintf("n%d", i)
		v.followers = append(v.followers, membership.Node{Name: name, Cores: float64(i / 5)})
	}
	seen := map[int]bool{}
	for _, n := range v.followers {
		e := &election{self: n}
		r := e.rank(v)
		if seen[r] {
			t.Errorf("rank %d twice", r)
		}
		seen[r] = true
		if n.Cores == 0 && r < 5 {
			t.Errorf("node %s with few cores has rank %d", n.Name, r)
		}
	}
}
