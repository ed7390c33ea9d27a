package router

import "time"

const (
	// DefaultLeaseLength is the default time for which a node may start requests
	// on leased slots.
	DefaultLeaseLength = 3 * time.Second
	// pauseMargin covers a pause of the lease holder's process between the check
	// of its lease and the write of the request.
	pauseMargin = 500 * time.Millisecond
	// maxClockDriftPercent bounds the difference in rate between two clocks.
	maxClockDriftPercent = 1
	// MaxRunners bounds the runners of one upstream.
	MaxRunners = 4096
)

// Options are the settings of one upstream.
type Options struct {
	// Zone is the availability zone of the node.
	Zone string
	// LeaseLength is the duration of a slot lease.
	LeaseLength time.Duration
	// MaxRequestTime is the longest time a runner works on one request.
	MaxRequestTime time.Duration
	// EjectFailureThreshold is the threshold of consecutive failures at which a
	// runner is ejected from load balancing.
	EjectFailureThreshold int
	// EjectMaxPercent bounds the percentage of runners that are ejected at once.
	EjectMaxPercent int
	// ProbationAfter is the time after which an ejected runner gets a trial
	// request.
	ProbationAfter time.Duration
	// HeadroomPercent is the percentage of the slots recently used by other teams,
	// up to their share, that a team above its own share must leave free. At 0 no
	// slot is idle while requests wait; at 100 a flood of one team delays the
	// other teams the least.
	HeadroomPercent int
	// QueuePerTeam bounds the number of waiting requests of one team.
	QueuePerTeam int
	// MaxTeams bounds the number of teams for which Admission keeps state.
	MaxTeams int
}

// DefaultOptions returns the settings used where none are given.
func DefaultOptions() Options {
	return Options{
		LeaseLength:           DefaultLeaseLength,
		MaxRequestTime:        30 * time.Second,
		EjectFailureThreshold: 5,
		EjectMaxPercent:       30,
		ProbationAfter:        5 * time.Second,
		HeadroomPercent:       100,
		QueuePerTeam:          256,
		MaxTeams:              1024,
	}
}

// LeaseEnd returns the time after which a lease granted at a time has certainly
// ended at its holder, with allowance for clock drift and a pause of the holder.
func LeaseEnd(grantedAt, length time.Duration) time.Duration {
	return grantedAt + length + length*maxClockDriftPercent/100 + pauseMargin
}
