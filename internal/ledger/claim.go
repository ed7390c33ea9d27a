package ledger

// Claim is the ownership of a shard. A zero Token means that the shard was never
// claimed.
type Claim struct {
	Shard string `json:"shard"`
	// Token is the fencing token of the owner: the offset of its claim in the log.
	Token       uint64 `json:"token"`
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
	// Epoch is the number of claims of the shard that have taken effect,
	// starting at 1.
	Epoch uint64 `json:"epoch"`
	// Released is true if the owner has released the shard. From then on,
	// records with this token are ignored, apart from outcomes that workers
	// reported, which count under any token.
	Released bool `json:"released,omitempty"`
	// Successor is the node that the owner named as the next owner when it
	// released the shard, or empty.
	Successor string `json:"successor,omitempty"`
}
