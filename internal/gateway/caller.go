package gateway

// Caller is who a request came from.
type Caller struct {
	// Team is the team of the key; empty if no key came with the request, in
	// which case only queues open to all take work.
	Team string
	// Operator is true if the request carried the operator token.
	Operator bool
}
