package node

import (
	"github.com/medlarpulley/medlarpulley/internal/cell/membership"
	"github.com/medlarpulley/medlarpulley/internal/cell/owner"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
)

// describePreviousOwner returns what is known of the owner before this one, for the log.
func describePreviousOwner(previous registry.Ownership, self membership.Node, nodes map[string]membership.Node) owner.EarlierOwner {
	return owner.EarlierOwner{Node: previous.Node, Instance: previous.InstanceID, Evidence: previousOwnerEvidence(previous, self, nodes)}
}

func previousOwnerEvidence(previous registry.Ownership, self membership.Node, nodes map[string]membership.Node) string {
	other, listed := nodes[previous.Node]
	switch {
	case previous.Node == "":
		return "there was none"
	case !previous.Reconciled:
		return "none: it did not know all runs of the owners before it"
	case previous.Released:
		return "it has released the ownership"
	case previous.Node == self.Name:
		return "this process has replaced it on its node"
	case listed && other.InstanceID != previous.InstanceID:
		return "replaced by instance " + other.InstanceID
	case listed:
		return "none: its process is listed"
	default:
		return "none: its node is not listed"
	}
}
