// Package service is the placement policy of services. It spreads replicas over
// failure domains and bounds the number of replicas that are moved at once.
package service

import "github.com/medlarpulley/medlarpulley/internal/scheduler/plan"

// disruptionDivisor is the inverse of the fraction of the replicas that may be down
// at once for planned moves.
const disruptionDivisor = 10

// Policy is the placement policy of services.
type Policy struct{}

// Admits implements plan.Filter.
func (Policy) Admits(r *plan.Request, h *plan.Host) bool { return r.Size.Fits(h.Free) }

// Score implements plan.Score. It prefers the host with the fewest replicas in its
// region, then in its zone, then in its rack.
func (Policy) Score(r *plan.Request, h *plan.Host) int64 {
	if r.Placed == nil {
		return 0
	}
	const domainBase = 1 << 18
	region := int64(min(r.Placed.Regions[h.Region], domainBase-1))
	zone := int64(min(r.Placed.Zones[h.Zone], domainBase-1))
	rack := int64(min(r.Placed.Racks[h.Rack], domainBase-1))
	return -((region*domainBase+zone)*domainBase + rack)
}

// MaxDisrupted returns how many of n replicas may be down at once for planned
// moves.
func MaxDisrupted(n int) int { return max(1, n/disruptionDivisor) }
