package ledger

// Options are the functions that interpret objects. They must be pure and
// equal on all nodes. The objects come sorted by kind and name.
type Options struct {
	// Validate returns the faults of a set of objects; nil accepts every set.
	Validate func(objects []*Object) []Problem
	// Limits returns the units of each limit; nil means that there are none.
	Limits func(objects []*Object) map[string]int64
}
