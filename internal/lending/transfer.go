package lending

// Transfer is a move of units between the pool and this shard.
type Transfer struct {
	// ID names the transfer in Appended, Refused and Unknown.
	ID    uint64
	Limit string
	// Return is true for a move to the pool.
	Return bool
	Units  int64
}

// pending is a transfer whose effect was not read yet.
type pending struct {
	Transfer
	// offset is where the log holds it, if appended is true.
	offset   uint64
	appended bool
}
