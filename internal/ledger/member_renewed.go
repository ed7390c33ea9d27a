package ledger

// MemberRenewed reports a renewal.
type MemberRenewed struct {
	Origin
	ReadOffset uint64
}
