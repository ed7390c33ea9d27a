package membership

import "time"

const (
	// Interval is the time between two groups of exchanges.
	Interval = time.Second
	// PerInterval bounds the exchanges that one node starts per interval, so
	// that the cost does not grow with the number of nodes. With 8 nodes it
	// reaches each of 7 peers every 2 s.
	PerInterval = 4
	// FreshFor is how long a proof that the configuration is the last one holds.
	FreshFor = 5 * time.Second
	// suspectFailures is the number of failures in a row that makes a peer
	// suspect before its time.
	suspectFailures = 2
	// suspectCycles and unreachableCycles are in cycles, the time in which
	// every peer is asked once.
	suspectCycles     = 2
	unreachableCycles = 4
	// maxPeers bounds the peers that are tracked.
	maxPeers = 64
	// maxShards bounds the summaries that are kept of one peer.
	maxShards = 512
)

// cycle returns the time in which every one of n peers is asked once.
func cycle(n int) time.Duration {
	return time.Duration(max(1, (n+PerInterval-1)/PerInterval)) * Interval
}
