package ledger

// ConfigurationAccepted reports that a publication was accepted and its changes
// are in effect.
type ConfigurationAccepted struct {
	Origin
	ID       string
	Revision uint64
	Changed  []ObjectRef
	// Repeated is true if the same publication was accepted before.
	Repeated bool
}
