package ganghold

// Mode is the instruction to the owner of a part that a Watch carries.
type Mode uint8

// The values are sent between nodes and must not change.
const (
	// Query only asks for the state.
	Query Mode = iota
	// AllRunning reports that all parts run, so that the owner keeps its part
	// running.
	AllRunning
	// Stop stops the part by checkpoint and releases its hold.
	Stop
)
