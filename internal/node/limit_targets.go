package node

import (
	"github.com/medlarpulley/medlarpulley/internal/homing"
	peerv1 "github.com/medlarpulley/medlarpulley/proto/peer/v1"
)

// limitTargets returns the shards to which tasks may move that wait in shard from
// only for a limit, of which one start takes the given units. A shard qualifies
// if it is known to have enough free units. Otherwise the tasks stay, since units
// are lent to a shard that waits for them; a task that needs the units of several
// shards and moves on every offerInterval gets them nowhere.
//
// Two shards that each hold too few units for one start would keep them from each
// other. So tasks also move from the one with fewer units, or with the later name,
// to the other.
func limitTargets(from string, shards []homing.ShardSummary, demand map[string][]*peerv1.TeamDemand, limit string, units int64) []homing.ShardSummary {
	own := demandOf(demand[from], limit)
	var out []homing.ShardSummary
	for _, s := range shards {
		d := demandOf(demand[s.Name], limit)
		enough := d.GetAllotted()-d.GetUsed()-d.GetWaiting() >= units
		competes := units > own.GetAllotted() && d.GetUsed()+d.GetWaiting() > d.GetAllotted() &&
			(d.GetAllotted() > own.GetAllotted() || d.GetAllotted() == own.GetAllotted() && s.Name < from)
		if d != nil && (enough || competes) {
			out = append(out, s)
		}
	}
	return out
}

// demandOf returns the demand for a limit, or nil if it is not known.
func demandOf(list []*peerv1.TeamDemand, limit string) *peerv1.TeamDemand {
	for _, d := range list {
		if d.Limit == limit {
			return d
		}
	}
	return nil
}
