package ledger

// Options holds the functions that interpret configuration objects. They must be
// pure and equal on all nodes, or else the states of the nodes diverge. The
// objects are passed sorted by kind and name.
type Options struct {
	// Validate returns the problems of a set of objects. If it is nil, every set
	// is accepted.
	Validate func(objects []*Object) []Problem
	// Limits returns the total units of each limit by name. If it is nil, there
	// are no limits.
	Limits func(objects []*Object) map[string]int64
}
