package router

// Demand is a node's request to the lease manager of one runner.
type Demand struct {
	Runner string
	// Want is the number of slots that the node asks for.
	Want int
	// InUse is the number of slots with requests that run or may run.
	InUse int
	// Held is the number of slots that the node continues to use until it
	// receives a grant. It starts no request beyond it.
	Held int
	// Leaving is true if the runner reported to the node that it is leaving.
	Leaving bool
}
