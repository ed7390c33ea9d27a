package ledger

// Allotment is the part of one limit that a shard may use.
type Allotment struct {
	Limit string
	// Units is the allotment of the shard.
	Units int64
	// Pool is what no shard has.
	Pool int64
	// Total is the limit.
	Total int64
}
