package membership

import "time"

const (
	// ExchangeInterval is the time between two groups of exchanges.
	ExchangeInterval = time.Second
	// ExchangesPerInterval is the largest number of exchanges that one node
	// starts per ExchangeInterval, so that the cost per node does not grow with
	// the number of nodes. With 8 nodes, each of the 7 peers is reached every
	// 2 s.
	ExchangesPerInterval = 4
	// FreshnessPeriod is how long a proof that the configuration is the last one is
	// valid.
	FreshnessPeriod = 5 * time.Second
	// suspectAfterFailures is the number of consecutive failures after which a
	// peer becomes suspect, even before suspectAfterCycles have passed.
	suspectAfterFailures = 2
	// suspectAfterCycles and unreachableAfterCycles are the times without an
	// answer after which a peer becomes suspect and unreachable, in cycles. A
	// cycle is the time in which every peer is asked once.
	suspectAfterCycles     = 2
	unreachableAfterCycles = 4
	// maxPeers is the largest number of peers that are tracked.
	maxPeers = 64
	// maxShardSummaries is the largest number of shard summaries kept of one
	// peer.
	maxShardSummaries = 512
)

// cycleTime returns the time in which each of n peers is asked once.
func cycleTime(n int) time.Duration {
	return time.Duration(max(1, (n+ExchangesPerInterval-1)/ExchangesPerInterval)) * ExchangeInterval
}
