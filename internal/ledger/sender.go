package ledger

// sender is the last batch of a node. A node sends batch n+1 only after the
// log has batch n, so the last sequence number identifies every copy.
type sender struct {
	Incarnation uint64 `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
	// Offset is the offset of the last batch.
	Offset uint64 `json:"offset"`
}

// admit records the batch and reports whether it is to be applied.
func (s *State) admit(o Origin) (fresh, duplicate bool) {
	last := s.Senders[o.Node]
	switch {
	case last == nil:
		s.forgetSender()
		last = &sender{}
		s.Senders[o.Node] = last
	case o.Incarnation < last.Incarnation:
		return false, false
	case o.Incarnation == last.Incarnation && o.Sequence <= last.Sequence:
		return false, true
	}
	*last = sender{o.Incarnation, o.Sequence, o.Offset}
	return true, false
}

// forgetSender makes room for one sender: the one whose last batch is oldest,
// members last.
func (s *State) forgetSender() {
	if len(s.Senders) < MaxSenders {
		return
	}
	victim, member, oldest := "", true, uint64(0)
	for node, sender := range s.Senders {
		_, isMember := s.Book.Member(node)
		if victim == "" || (member && !isMember) || (member == isMember && sender.Offset < oldest) {
			victim, member, oldest = node, isMember, sender.Offset
		}
	}
	delete(s.Senders, victim)
}
