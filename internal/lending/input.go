package lending

// Observation is the known state of one limit.
type Observation struct {
	Limit string
	// Units is the limit over all shards.
	Units int64
	// Pool and Allotment are the units in the pool and in this shard's
	// allotment, as of the ledger's read offset.
	Pool      int64
	Allotment int64
	// Used are the units of running tasks and of tasks of unknown state in this
	// shard; Waiting are the units that its queued tasks need.
	Used    int64
	Waiting int64
	// OthersUnmet are the units that the other shards need above their
	// allotments, OthersIdle the units that they hold unused, and
	// OtherShardsWithUnmetDemand is the number of other shards with unmet demand,
	// all from peer summaries.
	OthersUnmet                int64
	OthersIdle                 int64
	OtherShardsWithUnmetDemand int64
}

// Input is the input of one decision.
type Input struct {
	// ReadOffset is the next log offset that the ledger will apply.
	ReadOffset uint64
	// Shards is the number of all shards.
	Shards       int64
	LogReachable bool
	// Limits are ordered by name.
	Limits []Observation
}
