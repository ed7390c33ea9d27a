package ledger

// ShardReleased reports that an owner gave up a shard.
type ShardReleased struct {
	Origin
	Claim Claim
}
