package dispatch

import "github.com/medlarpulley/medlarpulley/internal/resource"

// HostEntry is a worker that belongs to the shard.
type HostEntry struct {
	ID       string
	Address  string
	Zone     string
	Region   string
	Rack     string
	Capacity resource.Vector
	// Leaving is true if the platform is about to take the host away.
	Leaving bool
}
