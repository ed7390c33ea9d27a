package ledger

// ConfigurationAccepted reports a publication that is in force.
type ConfigurationAccepted struct {
	Origin
	ID       string
	Revision uint64
	Changed  []ObjectRef
	// Repeated is true if the same publication was accepted before.
	Repeated bool
}
