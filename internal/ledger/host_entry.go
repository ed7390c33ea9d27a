package ledger

import "github.com/medlarpulley/medlarpulley/internal/resource"

// HostEntry is a host that is assigned to a shard.
type HostEntry struct {
	ID       string          `json:"id"`
	Address  string          `json:"address"`
	Zone     string          `json:"zone"`
	Region   string          `json:"region"`
	Rack     string          `json:"rack"`
	Capacity resource.Vector `json:"capacity"`
}
