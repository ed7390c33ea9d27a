package node

import (
	"testing"

	"github.com/medlarpulley/medlarpulley/internal/cell/membership"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
)

// Guards against too short a wait for a host that does not answer, while the owner
// before the previous one may still extend leases there.
func TestPreviousOwnerGone(t *testing.T) {
	nodes := map[string]membership.Node{"a": {Name: "a", Boot: "a2"}, "b": {Name: "b", Boot: "b1"}}
	self := membership.Node{Name: "c", Boot: "c2"}
	for _, c := range []struct {
		name     string
		previous registry.Owner
		want     bool
	}{
		{"no previous owner", registry.Owner{}, true},
		{"alive", registry.Owner{Node: "b", Boot: "b1", Reconciled: true}, false},
		{"replaced", registry.Owner{Node: "a", Boot: "a1", Reconciled: true}, true},
		{"replaced before it had reconciled", registry.Owner{Node: "a", Boot: "a1"}, false},
		{"released", registry.Owner{Node: "b", Boot: "b1", Reconciled: true, Released: true}, true},
		{"released before it had reconciled", registry.Owner{Node: "b", Boot: "b1", Released: true}, false},
		{"an earlier process of this node", registry.Owner{Node: "c", Boot: "c1", Reconciled: true}, true},
		{"an earlier process of this node that had not reconciled", registry.Owner{Node: "c", Boot: "c1"}, false},
		{"unknown node", registry.Owner{Node: "d", Boot: "d1", Reconciled: true}, false},
	} {
		if got := previousOwnerGone(c.previous, self, nodes); got != c.want {
			t.Errorf("%s: gone is %t, want %t", c.name, got, c.want)
		}
	}
}
