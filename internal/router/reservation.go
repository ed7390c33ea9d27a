package router

// Reservation counts the votes on one attempt to reserve a request id.
type Reservation struct {
	offset        uint64
	members       int
	majority      int
	votes         map[string]bool
	granted       int
	denied        bool
	membersDiffer bool
	// End is the recorded result; it is set once the decision is
	// AlreadyFinished.
	End   RecordedResult
	ended bool
}

// NewReservation returns a Reservation without votes. configured is the configured
// number of entry nodes, members the number of members in the last ten minutes.
// The majority is computed from the larger of the two, so that any two majorities
// intersect even while the cluster forms. offset is the requester's offset of the
// last change of members.
func NewReservation(configured, members int, offset uint64) *Reservation {
	return &Reservation{
		offset: offset, members: members, majority: max(configured, members)/2 + 1,
		votes: make(map[string]bool, members),
	}
}

// Vote counts the first vote of a member. The caller must pass an abstention for
// a member that did not answer.
func (r *Reservation) Vote(member string, v Vote) {
	if r.votes[member] {
		return
	}
	r.votes[member] = true
	switch {
	case v.Finished:
		r.ended, r.End = true, v.End
	case v.Abstained:
	case v.MembersOffset != r.offset:
		r.membersDiffer = true
	case v.Granted:
		r.granted++
	default:
		r.denied = true
	}
}

// Decide returns the decision that follows from the votes so far.
func (r *Reservation) Decide() Decision {
	missing := r.members - len(r.votes)
	switch {
	case r.ended:
		return AlreadyFinished
	case r.granted >= r.majority:
		return Reserved
	case missing > 0 && (r.denied || r.granted+missing >= r.majority):
		// After a denial, another member may still know the recorded result.
		return Undecided
	case r.denied:
		return ReservedElsewhere
	case r.membersDiffer:
		return MembersDiffer
	default:
		return NoMajority
	}
}
