package node

import (
	"github.com/medlarpulley/medlarpulley/internal/cell/membership"
	"github.com/medlarpulley/medlarpulley/internal/cell/owner"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
)

// previousOwnerGone reports whether no earlier owner can act on hosts any more:
// there was none, or the previous owner had reconciled the runs of the owners
// before it, and has released the ownership or its process was replaced.
func previousOwnerGone(previous registry.Ownership, self membership.Node, nodes map[string]membership.Node) bool {
	gone, _ := judgePreviousOwner(previous, self, nodes)
	return gone
}

// describePreviousOwner returns what is known of the owner before this one, for the log.
func describePreviousOwner(previous registry.Ownership, self membership.Node, nodes map[string]membership.Node) owner.EarlierOwner {
	_, evidence := judgePreviousOwner(previous, self, nodes)
	return owner.EarlierOwner{Node: previous.Node, Instance: previous.InstanceID, Evidence: evidence}
}

// judgePreviousOwner returns the result of previousOwnerGone and the evidence for it.
func judgePreviousOwner(previous registry.Ownership, self membership.Node, nodes map[string]membership.Node) (gone bool, evidence string) {
	process, listed := nodes[previous.Node]
	if previous.Node == self.Name {
		process, listed = self, true
	}
	switch {
	case previous.Node == "":
		return true, "there was none"
	case !previous.Reconciled:
		return false, "none: an owner before it may still act, or has runs that it did not know"
	case previous.Released:
		return true, "it has released the ownership"
	case process.HasReplaced(previous.InstanceID):
		return true, "replaced by instance " + process.InstanceID
	case listed:
		return false, "none: no process is known to have replaced it"
	default:
		return false, "none: its node is not listed"
	}
}
