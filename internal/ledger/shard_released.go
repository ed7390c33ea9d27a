package ledger

// ShardReleased reports that the owner released a shard.
type ShardReleased struct {
	Origin
	Claim Claim
}
