package ganghold

// Mode is what a part is told with a question about its state.
type Mode uint8

// The values are those of the wire.
const (
	// Ask tells nothing.
	Ask Mode = iota
	// Keep tells that all parts run.
	Keep
	// Stop stops the part by checkpoint and voids its hold.
	Stop
)
