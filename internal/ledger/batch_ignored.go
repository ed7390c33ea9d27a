package ledger

// BatchIgnored reports a batch without effect.
type BatchIgnored struct {
	Origin
	// Duplicate is true if the batch was applied before. Otherwise the batch
	// comes from an incarnation that a newer one has replaced.
	Duplicate bool
}
