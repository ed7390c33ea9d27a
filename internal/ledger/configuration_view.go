package ledger

// Configuration is a read-only view of the current configuration. The objects
// are sorted by kind and name; callers share them and must not change them.
type Configuration struct {
	Revision uint64
	Objects  []*Object
}
