package dispatch

import "github.com/medlarpulley/medlarpulley/internal/resource"

// HostEntry describes a worker host that is assigned to the shard.
type HostEntry struct {
	ID       string
	Address  string
	Zone     string
	Region   string
	Rack     string
	Capacity resource.Vector
	// Leaving is true if the platform is about to remove the host.
	Leaving bool
}
