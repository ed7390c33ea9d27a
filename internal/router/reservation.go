package router

// Reservation counts the votes for one attempt of one id.
type Reservation struct {
	offset  uint64
	members int
	need    int
	votes   map[string]bool
	granted int
	held    bool
	differ  bool
	// End is set once the decision is Ended.
	End   End
	ended bool
}

// NewReservation starts a count. Configured is the configured number of entry
// nodes, members the number of members of the last ten minutes. The majority
// is taken of the larger one, so that two majorities intersect also while the
// cluster forms.
func NewReservation(configured, members int, offset uint64) *Reservation {
	return &Reservation{
		offset: offset, members: members, need: max(configured, members)/2 + 1,
		votes: make(map[string]bool, members),
	}
}

// Vote counts the vote of a member. A member that failed to answer abstained.
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
		r.differ = true
	case v.Granted:
		r.granted++
	default:
		r.held = true
	}
}

// Decide returns the decision on the votes so far.
func (r *Reservation) Decide() Decision {
	left := r.members - len(r.votes)
	switch {
	case r.ended:
		return Ended
	case r.granted >= r.need:
		return Reserved
	case left > 0 && (r.held || r.granted+left >= r.need):
		// With a vote against, the other members may still know the end.
		return Undecided
	case r.held:
		return HeldElsewhere
	case r.differ:
		return MembersDiffer
	default:
		return NoMajority
	}
}
