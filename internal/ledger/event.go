package ledger

// Event reports the effect of a record, or why it had none. The concrete types
// are the structs of this package that embed Origin.
type Event interface {
	// From returns the record that caused the event.
	From() Origin
}
