package ledger

// ClaimEffective reports a new owner of a shard.
type ClaimEffective struct {
	Origin
	Claim    Claim
	Previous Claim
}
