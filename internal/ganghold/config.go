package ganghold

import "time"

// Config describes the gang that a coordinator starts.
type Config struct {
	// Shards are the names of the shards of the parts.
	Shards []string
	// Token is the fencing token of the coordinator's shard. It makes the hold
	// IDs of a later coordinator sort after those of an earlier one.
	Token uint64
	// Incarnation distinguishes successive coordinators under one token. It
	// increases with each of them.
	Incarnation uint64
	// Idempotent is set if running parts may be stopped and started again.
	Idempotent bool
	// Seed seeds the jitter of the backoff.
	Seed uint64
}

const (
	// HoldValidity is the validity period of a hold. After it, capacity that a
	// failed coordinator reserved is free again.
	HoldValidity = 6 * time.Second
	// CallTimeout is the timeout of a call. Several consecutive calls must fit
	// into HoldValidity.
	CallTimeout = time.Second
	// WatchInterval is the interval at which the states of the parts are polled.
	// Several intervals fit into the scheduler's GangRunningTimeout, so that one
	// lost poll does not stop a part.
	WatchInterval = 2 * time.Second
	// minBackoff and maxBackoff are the bounds of the backoff between two tries
	// to hold all parts.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
	// driftDivisor and pauseAllowance shorten the validity of a hold on the
	// coordinator's clock, for a clock drift of 1 % and a process pause of 500 ms.
	driftDivisor   = 100
	pauseAllowance = 500 * time.Millisecond
)

// minHoldValidity is how long after its request was sent a granted hold is
// certainly still valid.
const minHoldValidity = HoldValidity - HoldValidity/driftDivisor - pauseAllowance
