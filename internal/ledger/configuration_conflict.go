package ledger

// ConfigurationConflict reports a publication that touches objects that
// changed after its base revision.
type ConfigurationConflict struct {
	Origin
	ID       string
	Base     uint64
	Revision uint64
	// Conflicts are the current objects. Spec is empty for a withdrawn object.
	Conflicts []Object
	// Repeated is true if the publication was judged before. Conflicts is
	// then empty.
	Repeated bool
}
