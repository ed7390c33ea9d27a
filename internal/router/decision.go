package router

// Decision is the result of a reservation, as the node that requested it sees it.
type Decision uint8

const (
	// Undecided means that missing votes can still change the result.
	Undecided Decision = iota
	// Reserved means that a majority granted the id. The request may be
	// dispatched once.
	Reserved
	// AlreadyFinished means that the request has already ended; Reservation.End
	// holds its recorded result.
	AlreadyFinished
	// ReservedElsewhere means that another attempt has reserved the id and may have
	// been dispatched.
	ReservedElsewhere
	// MembersDiffer means that a member has another view of the membership. The
	// requester reads the members again and retries.
	MembersDiffer
	// NoMajority means that no majority granted the id. This attempt did not run.
	NoMajority
)
