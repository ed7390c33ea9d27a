package lending

import "time"

const (
	// IdleThreshold is how long units must be unused before they are returned.
	IdleThreshold = 2 * time.Second
	// MaxTransfersPerSecond bounds the transfers of one shard. At 4 per second,
	// distributing the 68 limits of the design size takes 17 s, while tasks wait
	// although hosts are free. All due transfers of a node share one append, so
	// a higher rate does not add appends.
	MaxTransfersPerSecond = 68
	// minExcessDivisor sets the smallest excess over the equal share that is
	// returned to the pool, as a fraction of that share: an eighth, so that
	// single units are not moved back and forth.
	minExcessDivisor = 8
	// maxLimits is the largest number of limits of one shard.
	maxLimits = 1024
)
