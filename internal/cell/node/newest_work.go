package node

import (
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/cell/worklog"
	"github.com/medlarpulley/medlarpulley/platform"
)

// applyNewestWork applies the newest record of each key of the work topic, which come in the
// order of keys, not of offsets. The owner is applied first: if another node has claimed, the
// owner in this process must not learn of submissions after that claim, which its successor
// starts at once. The claim may also be stored after the record of the owner was read, and before
// that of a submission: the registry passes on no submission from p.End on until it is read
// again in its order. A claim of this node begins a term after all records, and only if it was
// stored before the read began. Otherwise a record that was stored before the claim may be
// missing, of a key that was read before; the claim is then read again in its order.
func (n *Node) applyNewestWork(p worklog.Page) {
	n.registry.BeginNewest(p.Records)
	apply := func(r platform.Record) { n.registry.ApplyNewest(r, p.End) }
	var owner *platform.Record
	for _, r := range p.Records {
		if registry.IsOwnership(r) {
			worklog.ApplyRecord(n.log, r, apply)
			owner = &r
		}
	}
	n.endFormerTerm()
	for _, r := range p.Records {
		if !registry.IsOwnership(r) {
			worklog.ApplyRecord(n.log, r, apply)
		}
	}
	if owner != nil && owner.Offset < p.End {
		n.beginClaimedTerm(owner.Offset)
	}
}
