package ledger

// Configuration is the configuration in force. The objects are shared and
// immutable, sorted by kind and name.
type Configuration struct {
	Revision uint64
	Objects  []*Object
}
