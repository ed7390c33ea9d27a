package ledger

// Malformed reports a payload or record that was skipped because it cannot be
// decoded or lacks required fields.
type Malformed struct {
	Origin
	Reason string
}
