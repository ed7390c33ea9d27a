package router

// Result is how an attempt at a runner ended, as far as health is concerned.
type Result uint8

const (
	// Answered means that the runner gave a whole answer below 500.
	Answered Result = iota
	// Failed means that the runner answered with an error of its own.
	Failed
	// Refused means that the runner refused for lack of a free slot. It says
	// nothing against the runner's health.
	Refused
	// Unreachable means that no byte of the request arrived.
	Unreachable
	// Unknown means that the request may still be running. Its slot stays taken.
	Unknown
	// Abandoned is like Unknown, but the caller gave up; it says nothing
	// against the runner's health.
	Abandoned
)
