package ledger

// MemberLeft reports that a member left or was evicted.
type MemberLeft struct {
	Origin
	Member  Member
	Evicted bool
}
