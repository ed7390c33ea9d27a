package ledger

// BatchApplied reports that the records of a batch were applied.
type BatchApplied struct {
	Origin
	Records int
}
