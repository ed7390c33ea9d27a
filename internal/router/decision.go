package router

// Decision is the state of a reservation at its requester.
type Decision uint8

const (
	// Undecided means that further votes can change the result.
	Undecided Decision = iota
	// Reserved means that the request may be dispatched, once.
	Reserved
	// Ended means that the request has ended before; End tells how.
	Ended
	// HeldElsewhere means that another attempt may have been dispatched.
	HeldElsewhere
	// MembersDiffer means that a member knows other members; read and retry.
	MembersDiffer
	// NoMajority means that too few members granted the id. This attempt did
	// not run.
	NoMajority
)
