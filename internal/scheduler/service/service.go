// Package service spreads replicas over failure domains and bounds how many of
// them are moved at a time.
package service

import "github.com/medlarpulley/medlarpulley/internal/scheduler/plan"

// disruptedPart is the inverse of the part of the replicas that may be down for
// planned moves at once.
const disruptedPart = 10

// Policy is the placement policy of services.
type Policy struct{}

// Admits implements plan.Filter.
func (Policy) Admits(r *plan.Request, h *plan.Host) bool { return r.Size.Fits(h.Free) }

// Score implements plan.Score: fewest replicas in the region, then in the zone,
// then in the rack.
func (Policy) Score(r *plan.Request, h *plan.Host) int64 {
	if r.Placed == nil {
		return 0
	}
	const wide = 1 << 18
	region := int64(min(r.Placed.Regions[h.Region], wide-1))
	zone := int64(min(r.Placed.Zones[h.Zone], wide-1))
	rack := int64(min(r.Placed.Racks[h.Rack], wide-1))
	return -((region*wide+zone)*wide + rack)
}

// Disruptable returns how many of n replicas may be down for planned moves.
func Disruptable(n int) int { return max(1, n/disruptedPart) }
