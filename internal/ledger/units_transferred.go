package ledger

// UnitsTransferred reports that units of a limit were transferred from FromShard to
// ToShard. An empty name denotes the pool.
type UnitsTransferred struct {
	Origin
	Limit     string
	FromShard string
	ToShard   string
	Units     int64
}
