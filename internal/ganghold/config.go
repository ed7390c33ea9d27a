package ganghold

import "time"

// Config describes one gang to its coordinator.
type Config struct {
	// Shards are the homes of the parts.
	Shards []string
	// Token is the fencing token of the coordinator's shard. Holds of a later
	// coordinator sort after those of an earlier one.
	Token uint64
	// Incarnation tells apart coordinators under one token; it rises.
	Incarnation uint64
	// Idempotent is set if the parts may be stopped and started again.
	Idempotent bool
	// Seed is the seed of the jitter.
	Seed uint64
}

const (
	// HoldFor is the validity of a hold. Room that a lost coordinator held is
	// free again after it.
	HoldFor = 6 * time.Second
	// CallTimeout bounds the wait for an answer. Several calls in a row must
	// fit into HoldFor.
	CallTimeout = time.Second
	// KeepEvery is the time between two questions about the parts. Several fit
	// into the WholeFor of the owners, so that one lost question stops nothing.
	KeepEvery = 2 * time.Second
	// minBackoff and maxBackoff bound the wait between two tries.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
	// driftDivisor and pauseAllowance shorten the validity of a hold on the
	// coordinator's clock: 1 % of drift and a pause of 500 ms.
	driftDivisor   = 100
	pauseAllowance = 500 * time.Millisecond
)

// validFor is how long after it was sent for a hold is certainly granted.
const validFor = HoldFor - HoldFor/driftDivisor - pauseAllowance
