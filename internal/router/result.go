package router

// Result is the outcome of an attempt at a runner, for its health and its slots.
type Result uint8

const (
	// Answered means that the runner sent a complete response with a status below
	// 500.
	Answered Result = iota
	// Failed means that the runner responded with an error.
	Failed
	// NotRun means that the request did not run, for example because the runner
	// had no free slot or the slot was not used. It does not count as a failure of
	// the runner.
	NotRun
	// Unreachable means that no byte of the request reached the runner.
	Unreachable
	// Unknown means that the request may still be running. Its slot stays in use.
	Unknown
	// Abandoned is like Unknown, but the caller gave up. It does not count as a
	// failure of the runner.
	Abandoned
)
