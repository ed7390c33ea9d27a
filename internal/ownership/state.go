package ownership

// State is the state of members and claims after the log up to ReadOffset.
type State struct {
	// ReadOffset is the next offset to read.
	ReadOffset uint64
	// Members are ordered by name.
	Members []Member
	// Sets is the history of member sets in offset order. It reaches back at
	// least to the smallest ReadOffset of any holder.
	Sets []MemberSet
	// Holdings has one entry for each shard that was ever claimed, by name.
	Holdings map[string]Holding
}

// Member is an entry node that has joined and neither left nor been evicted.
type Member struct {
	Identity
	Zone string
	// Joined is the offset of the Join.
	Joined uint64
	// Renewed is the offset of the last renewal, or of the Join.
	Renewed uint64
	// ReadOffset is the offset that the last renewal declared as read.
	ReadOffset uint64
}

// MemberSet is the set of member names that is in force from an offset on.
type MemberSet struct {
	From  uint64
	Names []string
}

// Holding is the ownership of one shard.
type Holding struct {
	// Token is the offset of the last claim that took effect.
	Token uint64
	// Epoch counts the claims that took effect, from 1.
	Epoch uint64
	Owner Identity
	// Released is true after the owner released the shard.
	Released bool
	// Successor is the node that the release named as the next owner; it may
	// be empty.
	Successor string
	// Previous are the earlier holders that are not proved to have given up
	// their tokens.
	Previous []Holder
}

// HeldBy reports whether a process owns the shard under a token and has not
// released it.
func (h Holding) HeldBy(id Identity, token uint64) bool {
	return token != 0 && h.Token == token && !h.Released && h.Owner == id
}

// Holder is an earlier owner of a shard that may still act as its owner.
type Holder struct {
	Identity
	Token uint64
	// Renewed is the offset of its last renewal in effect.
	Renewed uint64
	// ReadOffset is the offset that this renewal declared as read.
	ReadOffset uint64
	// SupersededAt is the offset of the claim that superseded Token.
	SupersededAt uint64
	// Rejoined is true if a later incarnation of the node has joined, so that
	// this process has ended.
	Rejoined bool
}

func (s *State) member(node string) (Member, bool) {
	for _, m := range s.Members {
		if m.Node == node {
			return m, true
		}
	}
	return Member{}, false
}

func (s *State) isMember(id Identity) bool {
	m, ok := s.member(id.Node)
	return ok && m.Incarnation == id.Incarnation
}
