package ledger

// UnitsTransferred reports a transfer. An empty name stands for the pool.
type UnitsTransferred struct {
	Origin
	Limit string
	Shard string
	To    string
	Units int64
}
