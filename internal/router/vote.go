package router

// Vote is the answer of one member to the reservation of a request id.
type Vote struct {
	Granted bool
	// Abstained is true if the member must not or cannot vote.
	Abstained bool
	// MembersOffset is the member's offset of the last change of members. A vote
	// to grant or deny does not count if it differs from the requester's offset.
	MembersOffset uint64
	// Finished is true if the request has already ended; End is its result.
	Finished bool
	End      RecordedResult
}
