package ledger

// Event reports the effect of a record, or why it had none. The concrete types
// are the structs of this package that embed Origin.
type Event interface {
	// RecordOrigin returns the record that caused the event.
	RecordOrigin() Origin
}
