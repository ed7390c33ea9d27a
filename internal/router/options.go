package router

import "time"

const (
	// DefaultLeaseLength is how long a node may start requests on leased slots.
	DefaultLeaseLength = 3 * time.Second
	// pauseAllowance covers a pause of a holder between its check and its write.
	pauseAllowance = 500 * time.Millisecond
	// driftPercent bounds the difference in speed of two clocks.
	driftPercent = 1
	// MaxRunners bounds the runners of one upstream.
	MaxRunners = 4096
)

// Options are the settings of the decisions of one upstream.
type Options struct {
	// Zone is the availability zone of the node.
	Zone string
	// LeaseLength is the length of a slot lease.
	LeaseLength time.Duration
	// MaxRequestTime is the longest time a runner works on one request.
	MaxRequestTime time.Duration
	// EjectFailures is the number of failures in a row that ejects a runner.
	EjectFailures int
	// EjectMaxPercent bounds the part of the runners that is ejected.
	EjectMaxPercent int
	// ProbationAfter is how long an ejected runner gets no request.
	ProbationAfter time.Duration
	// HeadroomPercent is the part of the recent use of other teams, up to their
	// share, that a team above its own share leaves free. At 0 no slot idles
	// while requests wait; at 100 a flood delays other teams the least.
	HeadroomPercent int
	// QueuePerTeam bounds the waiting requests of one team.
	QueuePerTeam int
	// MaxTeams bounds the teams that admission keeps state for.
	MaxTeams int
}

// DefaultOptions returns the settings used where none are given.
func DefaultOptions() Options {
	return Options{
		LeaseLength:     DefaultLeaseLength,
		MaxRequestTime:  30 * time.Second,
		EjectFailures:   5,
		EjectMaxPercent: 30,
		ProbationAfter:  5 * time.Second,
		HeadroomPercent: 100,
		QueuePerTeam:    256,
		MaxTeams:        1024,
	}
}

// LeaseEnd returns the time after which a lease given at a time has certainly
// ended at its holder.
func LeaseEnd(given, length time.Duration) time.Duration {
	return given + length + length*driftPercent/100 + pauseAllowance
}
