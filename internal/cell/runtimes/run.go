package runtimes

import "time"

// Run is a run that has ended, or of which only a lower bound of its duration is known.
type Run struct {
	// Estimate is what the submitter stated; zero for none.
	Estimate time.Duration
	// Took is how long the run took, or at least took if it is censored.
	Took time.Duration
	// HostSpeed is the speed of the host relative to that of a normal one, which is 1.
	HostSpeed float64
	Host      string
}
