package plan

import "github.com/medlarpulley/medlarpulley/internal/resource"

// Request is one task to be placed on a host.
type Request struct {
	Size resource.Vector
	// Packing is the weight of packing, from 0 (the emptiest host is best) to 100
	// (the fullest host is best).
	Packing int
	// Placed counts the live tasks of the same job in each failure domain; it may
	// be nil.
	Placed *DomainCounts
}
