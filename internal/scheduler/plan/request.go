package plan

import "github.com/medlarpulley/medlarpulley/internal/resource"

// Request is one task that needs a host.
type Request struct {
	Size resource.Vector
	// Packing is 0 to 100: at 0 the emptiest host is best, at 100 the fullest.
	Packing int
	// Placed counts the tasks of the same job per rack, zone and region; it may be nil.
	Placed *Placed
}
