package ledger

// ClaimEffective reports that a claim took effect and a shard has a new owner.
type ClaimEffective struct {
	Origin
	Claim    Claim
	Previous Claim
}
