package ganghold

// State is what the part of a gang in one shard does.
type State uint8

// The values are those of the wire.
const (
	// Unknown means that the owner did not answer or does not know the part.
	Unknown State = iota
	// Idle waits and may be held.
	Idle
	// Running has an attempt for each task without an outcome.
	Running
	// Mixed is on the way from one to the other.
	Mixed
	// Done has all its outcomes.
	Done
)
