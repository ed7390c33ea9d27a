package node

import (
	"testing"

	"github.com/medlarpulley/medlarpulley/internal/cell/membership"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
)

// Guards against a short wait for a host that does not answer, while the owner
// before the former one may still extend leases there.
func TestProcessGone(t *testing.T) {
	nodes := map[string]membership.Node{"a": {Name: "a", Boot: "a2"}, "b": {Name: "b", Boot: "b1"}}
	self := membership.Node{Name: "c", Boot: "c2"}
	for _, c := range []struct {
		name   string
		former registry.Owner
		want   bool
	}{
		{"there was none", registry.Owner{}, true},
		{"alive", registry.Owner{Node: "b", Boot: "b1", Settled: true}, false},
		{"replaced", registry.Owner{Node: "a", Boot: "a1", Settled: true}, true},
		{"replaced before it had settled", registry.Owner{Node: "a", Boot: "a1"}, false},
		{"released", registry.Owner{Node: "b", Boot: "b1", Settled: true, Released: true}, true},
		{"released before it had settled", registry.Owner{Node: "b", Boot: "b1", Released: true}, false},
		{"an earlier life of this node", registry.Owner{Node: "c", Boot: "c1", Settled: true}, true},
		{"an earlier life of this node that had not settled", registry.Owner{Node: "c", Boot: "c1"}, false},
		{"of a node that is not known", registry.Owner{Node: "d", Boot: "d1", Settled: true}, false},
	} {
		if got := processGone(c.former, self, nodes); got != c.want {
			t.Errorf("%s: gone is %t, want %t", c.name, got, c.want)
		}
	}
}
