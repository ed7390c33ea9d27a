package ledger

// MemberJoined reports a new member or a new incarnation of a member.
type MemberJoined struct {
	Origin
	Member Member
}
