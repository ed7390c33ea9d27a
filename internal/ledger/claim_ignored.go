package ledger

// ClaimIgnored reports a claim without effect.
type ClaimIgnored struct {
	Origin
	Shard      string
	Supersedes uint64
	// Current is the claim in force.
	Current Claim
	Reason  string
}
