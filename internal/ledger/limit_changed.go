package ledger

// LimitChanged reports that the total of a limit changed. A total of zero may
// mean that the limit was withdrawn.
type LimitChanged struct {
	Origin
	Limit string
	Total int64
	Pool  int64
}
