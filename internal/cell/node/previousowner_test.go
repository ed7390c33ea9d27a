package node

import (
	"strings"
	"testing"

	"github.com/medlarpulley/medlarpulley/internal/cell/membership"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
)

// Guards against a log that gives another reason than the decision has, or does not tell by which
// process an earlier owner was replaced.
func TestEvidenceOfThePreviousOwner(t *testing.T) {
	nodes := map[string]membership.Node{"a": {Name: "a", InstanceID: "a2", Replaced: []string{"a1"}}, "b": {Name: "b", InstanceID: "b1"}}
	self := membership.Node{Name: "c", InstanceID: "c2", Replaced: []string{"c1"}}
	for _, c := range []struct {
		previous registry.Ownership
		want     string
	}{
		{registry.Ownership{}, "there was none"},
		{registry.Ownership{Node: "b", InstanceID: "b1", Reconciled: true}, "none: no process is known to have replaced it"},
		{registry.Ownership{Node: "a", InstanceID: "a1", Reconciled: true}, "replaced by instance a2"},
		{registry.Ownership{Node: "a", InstanceID: "a1"}, "none: an owner before it may still act, or has runs that it did not know"},
		{registry.Ownership{Node: "b", InstanceID: "b1", Reconciled: true, Released: true}, "it has released the ownership"},
		{registry.Ownership{Node: "c", InstanceID: "c1", Reconciled: true}, "replaced by instance c2"},
		{registry.Ownership{Node: "d", InstanceID: "d1", Reconciled: true}, "none: its node is not listed"},
	} {
		got := describePreviousOwner(c.previous, self, nodes)
		if got.Evidence != c.want || got.Node != c.previous.Node || got.Instance != c.previous.InstanceID {
			t.Errorf("%+v: %+v, want %q", c.previous, got, c.want)
		}
		if gone := previousOwnerGone(c.previous, self, nodes); gone == strings.HasPrefix(got.Evidence, "none") {
			t.Errorf("%+v: the decision is %t, and the log says %q", c.previous, gone, got.Evidence)
		}
	}
}
