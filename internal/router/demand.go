package router

// Demand is what a node asks of the slot keeper of one runner.
type Demand struct {
	Runner string
	Want   int
	InUse  int
	Held   int
}
