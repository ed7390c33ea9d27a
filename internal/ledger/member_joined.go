package ledger

// MemberJoined reports that a node, or a new incarnation of one, became a member.
type MemberJoined struct {
	Origin
	Member Member
}
