package ledger

// Restored reports that the state was replaced with a newer one from a snapshot.
// The events of the records in between are not reported.
type Restored struct {
	Origin
}
