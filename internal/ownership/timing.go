package ownership

import "time"

const (
	// RenewInterval is the time between two renewals.
	RenewInterval = 2 * time.Second
	// LogAuthority is how long a renewal is valid, from the time it was sent.
	LogAuthority = 6 * time.Second
	// OutageExtension is how long one round of confirmations is valid, from
	// the time the request was sent.
	OutageExtension = 3 * time.Second
	// OutageAfter is the time without log contact after which a node confirms
	// an outage. It is above the interval between two reads of the log.
	OutageAfter = 2 * time.Second
	// OutageInterval is the time between two rounds of confirmations; a third
	// of OutageExtension, so that two lost rounds do not end the authority.
	OutageInterval = time.Second
	// OutageLimit bounds outage mode, from the send time of the last renewal
	// that counts.
	OutageLimit = 2 * time.Hour
	// PauseAllowance covers pauses and delays between two clock readings.
	PauseAllowance = 500 * time.Millisecond
	// JoinGrace is the age below which a member gets no shard from a live
	// owner, so that a flapping node does not move ownership.
	JoinGrace = 30 * time.Second
	// holdTime is how long an owner keeps a shard before it moves it by choice,
	// so that a shard does not return to a node whose drain is not known yet.
	holdTime = 10 * time.Second
	// SilentLimit is the time without renewal after which a member is evicted.
	SilentLimit = 60 * time.Second
	// retryInterval is the time between two attempts at the same claim,
	// release, eviction or request for acknowledgements.
	retryInterval = time.Second
	// fallbackDelay is how long a free shard waits for its preferred owner
	// before any other node claims it. It covers an owner that renews but
	// whose reads hang.
	fallbackDelay = 10 * time.Second
	// maxRounds bounds the rounds of confirmations whose answers still count.
	maxRounds = 4
	// maxPendingRenewals bounds the renewals that are accepted and not read.
	maxPendingRenewals = 16
)

// WithAllowance returns the time after which d has certainly passed on the
// clock of another process: drift of 1 % plus PauseAllowance.
func WithAllowance(d time.Duration) time.Duration {
	return d + d/100 + PauseAllowance
}

var (
	// TakeoverWait is how long a successor sees no renewal before it claims.
	TakeoverWait = WithAllowance(LogAuthority)
	// PromiseTime is how long a node that confirmed an outage neither appends
	// nor acknowledges a claim.
	PromiseTime = WithAllowance(OutageExtension)
	// OutageWait is the wait that replaces acknowledgements.
	OutageWait = WithAllowance(OutageLimit)
)
