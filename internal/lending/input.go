package lending

// Observation is what is known about one limit.
type Observation struct {
	Limit string
	// Units is the limit over the whole fleet, in contract units.
	Units int64
	// Pool and Allotment are the ledger's values as of its read offset.
	Pool      int64
	Allotment int64
	// Used counts running tasks and tasks of unknown state in this shard;
	// Waiting is what the queued tasks need.
	Used    int64
	Waiting int64
	// OthersUnmet is the sum over the other shards of what they need above
	// their allotment, OthersIdle of what they hold unused, and Needy the
	// number of other shards with unmet demand, all from peer summaries.
	OthersUnmet int64
	OthersIdle  int64
	Needy       int64
}

// Input is everything that one decision depends on.
type Input struct {
	// ReadOffset is the next log offset that the ledger will apply.
	ReadOffset uint64
	// Shards is the number of shards of the fleet.
	Shards       int64
	LogReachable bool
	// Limits are ordered by name.
	Limits []Observation
}
