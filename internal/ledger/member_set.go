package ledger

// MemberSet is the set of members from an offset on. It is immutable.
type MemberSet struct {
	// Offset is the offset of the record that produced the set.
	Offset uint64 `json:"offset"`
	// Nodes are the names of the members, sorted.
	Nodes []string `json:"nodes"`
}
