package ledger

// UnitsTransferred reports that units of a limit were transferred from Shard to
// To. An empty name stands for the pool.
type UnitsTransferred struct {
	Origin
	Limit string
	Shard string
	To    string
	Units int64
}
