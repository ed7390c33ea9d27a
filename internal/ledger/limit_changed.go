package ledger

// LimitChanged reports new units of a limit. A limit of zero units may have
// been withdrawn.
type LimitChanged struct {
	Origin
	Limit string
	Total int64
	Pool  int64
}
