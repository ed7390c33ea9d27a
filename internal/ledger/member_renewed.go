package ledger

// MemberRenewed reports that a member renewed its membership.
type MemberRenewed struct {
	Origin
	ReadOffset uint64
}
