package router

// Pick is a slot of a runner that was taken for one attempt.
type Pick struct {
	Runner Runner
	// Attempt names the slot until Done.
	Attempt uint64
}
