package admission

import "time"

// Request is a submission to decide on.
type Request struct {
	ID, Team, Queue, Service string
	// Work is how long the submission takes if it never waits, Latest how long it may take until
	// its result is of no use any more.
	Work, Latest time.Duration
	// Laxity is the time until it is due less Work: work with less is placed before it.
	Laxity time.Duration
	// Demand is what its first tasks need together, Largest the most that one of them needs of
	// each resource, Labels the labels of the hosts that they need.
	Demand, Largest Amounts
	Labels          []string
}
