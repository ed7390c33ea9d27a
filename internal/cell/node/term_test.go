package node

import (
	"testing"

	"github.com/medlarpulley/medlarpulley/internal/cell/membership"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
)

// Guards against too short a wait for a host that does not answer, while the owner
// before the previous one may still extend leases there.
func TestPreviousOwnerGone(t *testing.T) {
	nodes := map[string]membership.Node{"a": {Name: "a", InstanceID: "a2", Replaced: []string{"a1"}}, "b": {Name: "b", InstanceID: "b1"}}
	self := membership.Node{Name: "c", InstanceID: "c2", Replaced: []string{"c1"}}
	for _, c := range []struct {
		name     string
		previous registry.Ownership
		want     bool
	}{
		{"no previous owner", registry.Ownership{}, true},
		{"alive", registry.Ownership{Node: "b", InstanceID: "b1", Reconciled: true}, false},
		{"replaced", registry.Ownership{Node: "a", InstanceID: "a1", Reconciled: true}, true},
		{"the last heartbeat read is not of its process", registry.Ownership{Node: "a", InstanceID: "a3", Reconciled: true}, false},
		{"replaced before it had reconciled", registry.Ownership{Node: "a", InstanceID: "a1"}, false},
		{"released", registry.Ownership{Node: "b", InstanceID: "b1", Reconciled: true, Released: true}, true},
		{"released before it had reconciled", registry.Ownership{Node: "b", InstanceID: "b1", Released: true}, false},
		{"an earlier process of this node", registry.Ownership{Node: "c", InstanceID: "c1", Reconciled: true}, true},
		{"an earlier process of this node that had not reconciled", registry.Ownership{Node: "c", InstanceID: "c1"}, false},
		{"unknown node", registry.Ownership{Node: "d", InstanceID: "d1", Reconciled: true}, false},
	} {
		if got := previousOwnerGone(c.previous, self, nodes); got != c.want {
			t.Errorf("%s: gone is %t, want %t", c.name, got, c.want)
		}
	}
}

// Guards against too short a wait for a host that does not answer, when a claim of
// another node was passed over: that node may have acted.
func TestPassedOverClaimerMayHaveActed(t *testing.T) {
	const token = 4 * registry.TokensPerTerm
	released := registry.Ownership{Node: "b", InstanceID: "b1", Token: token, Reconciled: true, Released: true}
	self := membership.Node{Name: "c", InstanceID: "c2"}
	next := registry.NextToken(token)
	if !previousOwnerGone(ownerBefore(next, released), self, nil) {
		t.Error("the owner that released is not gone")
	}
	for _, read := range []registry.Ownership{released, {Token: token}} {
		if previousOwnerGone(ownerBefore(registry.NextToken(next), read), self, nil) {
			t.Error("the node that claimed the token between counts as gone")
		}
	}
}
