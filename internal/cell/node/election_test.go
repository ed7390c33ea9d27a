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
	nodes := map[string]membership.Node{"a": {Name: "a", InstanceID: "a1", Replaced: []string{"a0"}}, "b": {Name: "b", InstanceID: "b1", Replaced: []string{"b0"}}}
	held := registry.Ownership{Node: "a", InstanceID: "a1", Token: 4}
	acts := func(v *electionInput) { v.ownerActsAt = now }
	slow := func(v *electionInput) { v.storeAnswerTime = 300 * time.Millisecond }
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
		{"the last heartbeat read is not of the owner's process", registry.Ownership{Node: "a", InstanceID: "a2", Token: 4}, 0, 0, nil, false},
		{"this process is the owner", registry.Ownership{Node: "b", InstanceID: "b1", Token: 4}, 5 * time.Second, 0, nil, false},
		{"owner is silent and does not answer", held, 1150 * time.Millisecond, 0, nil, true},
		{"owner is silent for a short time and does not answer", held, time.Second, 0, nil, false},
		{"busy owner answers that it acts", held, 1800 * time.Millisecond, 0, acts, false},
		{"owner that acts cannot reach a store that is fast", held, 2 * time.Second, 0, acts, true},
		{"owner that acts is silent at a slow store", held, 4 * time.Second, 0, func(v *electionInput) { acts(v); slow(v) }, false},
		{"owner was silent for longer than its authority at a slow store", held, 7 * time.Second, 0, func(v *electionInput) { acts(v); slow(v) }, true},
		{"owner's answer is old", held, 1150 * time.Millisecond, 0, func(v *electionInput) { v.ownerActsAt = now - time.Second }, true},
		{"silence is short for a slow store", held, 1900 * time.Millisecond, 0, slow, false},
		{"silence is long even for a slow store", held, 2100 * time.Millisecond, 0, slow, true},
		{"another node has claimed", held, 2 * time.Second, 0, func(v *electionInput) { v.takenToken, v.takenAt = 5, now-time.Second }, false},
		{"another node's claim was never read", held, 5 * time.Second, 0, func(v *electionInput) { v.takenToken, v.takenAt = 5, now-4*time.Second }, true},
		{"another node's claim was read", registry.Ownership{Node: "a", InstanceID: "a1", Token: 5}, 2 * time.Second, 0, func(v *electionInput) { v.takenToken, v.takenAt = 5, now-time.Second }, true},
		{"an earlier process of this node was the owner", registry.Ownership{Node: "b", InstanceID: "b0", Token: 4}, 0, 0, nil, true},
	} {
		e := &election{self: nodes["b"], ownerWrites: 9, lastOwnerWriteAt: now - c.silentFor}
		v := electionInput{owner: c.owner, ownerWrites: 9, nodes: nodes, followers: []membership.Node{nodes["a"], nodes["b"]}, asOf: now - c.readAge}
		if c.change != nil {
			c.change(&v)
		}
		e.shouldClaim(now, v)
		v.asOf += freeOwnershipRankDelay
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

// Guards against a live owner that is replaced because the store is slow, as on a day
// when the store answered 52 times slower: its appends took 0.3 to 2 s, so that
// followers read no record of it for up to 2.2 s.
func TestSlowStoreReplacesNoLiveOwner(t *testing.T) {
	self := membership.Node{Name: "b", InstanceID: "b1"}
	held := registry.Ownership{Node: "a", InstanceID: "a1", Token: 4}
	e := &election{self: self}
	const tick = 40 * time.Millisecond
	writes, lastWrite := int64(0), time.Duration(0)
	for now := 10 * time.Second; now < 60*time.Second; now += tick {
		if now-lastWrite > 2200*time.Millisecond {
			writes, lastWrite = writes+1, now
		}
		v := electionInput{
			owner: held, ownerWrites: writes, followers: []membership.Node{self}, asOf: now - 700*time.Millisecond,
			storeAnswerTime: 300 * time.Millisecond, ownerActsAt: now - 400*time.Millisecond,
		}
		if e.shouldClaim(now, v) {
			t.Fatalf("the node claims %s after the owner's last record", now-lastWrite)
		}
	}
}

// Guards against an owner that is replaced although it acts, by a node that is late in
// applying what it reads: the owner's next record is stored but not applied yet.
func TestLateReaderReplacesNoLiveOwner(t *testing.T) {
	const (
		tick      = 10 * time.Millisecond
		period    = 1400 * time.Millisecond // two reads, the second of which is applied late
		lateApply = 550 * time.Millisecond
		nextWrite = 900 * time.Millisecond // after the first write of a period
	)
	self := membership.Node{Name: "b", InstanceID: "b1"}
	e := &election{self: self}
	for now := 7 * period; now < 60*time.Second; now += tick {
		asOf := now / period * period
		if now-asOf >= period/2+lateApply {
			asOf += period / 2
		}
		writes := 2 * int64(asOf/period)
		if asOf%period >= nextWrite {
			writes++
		}
		v := electionInput{owner: registry.Ownership{Node: "a", InstanceID: "a1", Token: 4}, ownerWrites: writes, followers: []membership.Node{self}, asOf: asOf}
		if e.shouldClaim(now, v) {
			t.Fatalf("the node claims at %s, %s after the owner's last record", now, now%period-nextWrite)
		}
	}
}

// Guards against a claimer of a token that is passed over, but not fenced.
func TestNextTokenFencesPassedOverClaim(t *testing.T) {
	v := electionInput{owner: registry.Ownership{Token: 4}, takenToken: 5}
	if got, want := v.nextToken(), registry.NextToken(5); got != want {
		t.Errorf("next token %d, want %d", got, want)
	}
	v = electionInput{owner: registry.Ownership{Token: 4 * registry.TokensPerTerm}, takenToken: 5 * registry.TokensPerTerm}
	if got, want := v.nextToken(), int64(6*registry.TokensPerTerm); got != want {
		t.Errorf("next token %d, want %d", got, want)
	}
}
