package ledger

// BatchIgnored reports that a whole batch was ignored.
type BatchIgnored struct {
	Origin
	// Duplicate is true if the batch was applied before. Otherwise its sender
	// was replaced by a newer incarnation of the same node.
	Duplicate bool
}
