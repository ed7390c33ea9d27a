package ownership

import "time"

const (
	// RenewInterval is the time between two renewal attempts.
	RenewInterval = 2 * time.Second
	// RenewalValidity is how long a renewal is valid, from the time it was sent.
	RenewalValidity = 6 * time.Second
	// ConfirmationValidity is how long one round of confirmations is valid,
	// from the time the request was sent.
	ConfirmationValidity = 3 * time.Second
	// OutageThreshold is the time without log contact after which a node considers
	// the log unreachable and confirms an outage. It is longer than the interval
	// between two reads of the log.
	OutageThreshold = 2 * time.Second
	// ConfirmationInterval is the time between two rounds of confirmations. It
	// is a third of ConfirmationValidity, so that two lost rounds do not end the
	// authority.
	ConfirmationInterval = time.Second
	// MaxOutageDuration is the longest time in outage mode, from the time the
	// last renewal in effect was sent.
	MaxOutageDuration = 2 * time.Hour
	// PauseMargin covers process pauses and delays between two clock readings.
	PauseMargin = 500 * time.Millisecond
	// JoinGracePeriod is the age below which a member receives no shard from a
	// live owner, so that a node that joins and leaves repeatedly does not
	// cause transfers.
	JoinGracePeriod = 30 * time.Second
	// minHoldDuration is how long an owner keeps a shard before it transfers it
	// to a preferred owner, so that a shard does not return to a node whose
	// drain is not known yet.
	minHoldDuration = 10 * time.Second
	// EvictionTimeout is the time without renewal after which a member is
	// evicted.
	EvictionTimeout = 60 * time.Second
	// retryInterval is the time between two attempts at the same claim,
	// release, eviction or request for acknowledgements.
	retryInterval = time.Second
	// fallbackClaimDelay is how long a claimable shard is left to its preferred
	// owner before other nodes claim it too. It covers a preferred owner that
	// renews but whose reads hang.
	fallbackClaimDelay = 10 * time.Second
	// maxRounds is the number of the latest confirmation rounds whose answers
	// still count.
	maxRounds = 4
	// maxPendingRenewals is the largest number of accepted renewals that the
	// read offset has not passed.
	maxPendingRenewals = 16
)

// WithClockMargin returns the time on the local clock after which d has
// certainly passed on the clock of another process. It adds 1 % for clock drift
// and PauseMargin.
func WithClockMargin(d time.Duration) time.Duration {
	return d + d/100 + PauseMargin
}

var (
	// TakeoverDelay is how long a successor must have observed no renewal of the
	// owner before it claims a shard or takes over.
	TakeoverDelay = WithClockMargin(RenewalValidity)
	// PromiseDuration is how long a node that confirmed an outage appends no
	// claim, release or eviction and acknowledges no claim.
	PromiseDuration = WithClockMargin(ConfirmationValidity)
	// OutageTakeoverDelay is how long a successor must have observed no renewal
	// of an earlier holder to take over without acknowledgements.
	OutageTakeoverDelay = WithClockMargin(MaxOutageDuration)
)
