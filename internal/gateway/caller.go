package gateway

// Caller identifies the sender of a request.
type Caller struct {
	// Team is the team of the key. It is empty if the request carried no key;
	// such a request can submit only to open queues.
	Team string
	// Operator is true if the request carried the operator token.
	Operator bool
}
