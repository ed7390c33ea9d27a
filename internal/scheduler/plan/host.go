// Package plan defines the data and the interfaces that placement policies share.
// It makes no decisions.
package plan

import "github.com/medlarpulley/medlarpulley/internal/resource"

// Host is the view of a host that a policy gets.
type Host struct {
	ID       string
	Capacity resource.Vector
	// Free is the capacity available to new tasks.
	Free resource.Vector
	// Rack, Zone and Region are dense indices, unique within the shard.
	Rack, Zone, Region int32
}
