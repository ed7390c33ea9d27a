// Package plan holds the views and the interfaces that placement policies share.
package plan

import "github.com/medlarpulley/medlarpulley/internal/resource"

// Host is what a policy sees of a host.
type Host struct {
	ID       string
	Capacity resource.Vector
	// Free is the room that new tasks may take.
	Free resource.Vector
	// Rack, Zone and Region are dense numbers, unique over the shard.
	Rack, Zone, Region int32
}
