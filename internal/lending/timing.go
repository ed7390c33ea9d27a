package lending

import "time"

const (
	// IdleTime is how long units must be unused before they are returned.
	IdleTime = 2 * time.Second
	// TransfersPerSecond bounds the transfers of one shard. At 4 a second the 68
	// limits of the design size took 17 s to spread, and tasks waited beside free
	// hosts; all due transfers of a node share one append in any case.
	TransfersPerSecond = 68
	// minExcessDivisor: units above the equal part are returned to the pool
	// from an eighth of the part on, so that single units do not swing.
	minExcessDivisor = 8
	// maxLimits bounds the limits of one shard.
	maxLimits = 1024
)
