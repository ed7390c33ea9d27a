package ganghold

// State is the state of the part of a gang in one shard.
type State uint8

// The values are sent between nodes and must not change.
const (
	// Unknown means that the owner did not answer or does not know the part.
	Unknown State = iota
	// Idle means that no task of the part runs. Its waiting tasks may be held.
	Idle
	// Running means that each task without an outcome has an attempt.
	Running
	// Mixed means that the part is changing between Idle and Running.
	Mixed
	// Done means that all tasks of the part have an outcome.
	Done
)
