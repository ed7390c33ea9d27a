package ledger

// Claim tells who owns a shard. The zero value means never claimed.
type Claim struct {
	Shard string `json:"shard"`
	// Token is the offset of the claim and the fencing token of the shard.
	Token       uint64 `json:"token"`
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
	// Epoch counts the claims of the shard that took effect, from 1.
	Epoch uint64 `json:"epoch"`
	// Released is true if the owner gave the shard up. No record with the
	// token has effect from then on.
	Released bool `json:"released,omitempty"`
	// Successor is the node that the owner released the shard to, if any.
	Successor string `json:"successor,omitempty"`
}
