package lending

// Transfer moves units between the pool and the allotment of this shard.
type Transfer struct {
	// ID identifies the transfer in Appended and Refused.
	ID    uint64
	Limit string
	// Return is true if the units go to the pool.
	Return bool
	Units  int64
}

// pending is a transfer that was not yet read back from the log.
type pending struct {
	Transfer
	// offset is its offset in the log, valid if appended is true.
	offset   uint64
	appended bool
}
