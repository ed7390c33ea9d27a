package router

// Vote is the answer of one member to a reservation.
type Vote struct {
	Granted bool
	// Abstained is true if the member may not vote or cannot.
	Abstained bool
	// MembersOffset is the member's offset of the last change of members; a
	// vote with another offset than the request's never counts.
	MembersOffset uint64
	// Finished is true if the request has ended with End.
	Finished bool
	End      End
}
