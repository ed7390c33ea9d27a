package router

// Demand is what a node asks of the slot keeper of one runner.
type Demand struct {
	Runner string
	Want   int
	InUse  int
	Held   int
	// Leaving is true if the runner told the node that it is about to go.
	Leaving bool
}
