package ledger

// Malformed reports a payload or a record that was skipped because it cannot
// be understood.
type Malformed struct {
	Origin
	Reason string
}
