package ledger

// ConfigurationConflict reports that a publication was rejected because it
// changes objects that have changed since its base revision.
type ConfigurationConflict struct {
	Origin
	ID       string
	Base     uint64
	Revision uint64
	// Conflicts are the conflicting objects in their current form. Spec is empty
	// for a withdrawn object.
	Conflicts []Object
	// Repeated is true if the same publication was processed before. Conflicts
	// is then empty.
	Repeated bool
}
