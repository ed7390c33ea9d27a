package ledger

// Restored reports that the state was replaced by a newer one from a snapshot,
// and that the events in between are not known.
type Restored struct {
	Origin
}
