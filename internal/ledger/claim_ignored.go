package ledger

// ClaimIgnored reports that a claim of a shard was ignored.
type ClaimIgnored struct {
	Origin
	Shard      string
	Supersedes uint64
	// Current is the current claim of the shard.
	Current Claim
	Reason  string
}
