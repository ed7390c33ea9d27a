package router

// Pick is a slot of a runner that was allocated to one attempt.
type Pick struct {
	Runner Runner
	// Attempt identifies the allocated slot until Table.Done is called.
	Attempt uint64
}
