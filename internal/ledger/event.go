package ledger

// Event tells what a record did. The concrete types are the structs of this
// package that embed Origin.
type Event interface {
	// From returns the origin of the event.
	From() Origin
}
