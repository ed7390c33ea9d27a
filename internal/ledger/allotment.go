package ledger

// Allotment is the share of one limit that a shard may use.
type Allotment struct {
	Limit string
	// Units is the number of units allotted to the shard.
	Units int64
	// Pool is the number of units that are not allotted to any shard.
	Pool int64
	// Total is the limit itself, in units.
	Total int64
}
