package ledger

// sender identifies the last batch of a node. A node sends batch n+1 only after
// the log has stored or refused batch n, so a batch whose sequence number is not
// higher than the last one is a duplicate.
type sender struct {
	Incarnation uint64 `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
	// Offset is the offset of the last batch.
	Offset uint64 `json:"offset"`
}

// admitBatch reports whether a batch is to be applied, and records it as the last
// one of its sender if so. Otherwise duplicate reports whether the batch was
// applied before or its sender was replaced by a newer incarnation.
func (s *State) admitBatch(o Origin) (fresh, duplicate bool) {
	last := s.Senders[o.Node]
	switch {
	case last == nil:
		s.removeOldestSender()
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

// removeOldestSender makes room for one sender if there are MaxSenders of them. It
// removes the sender with the oldest last batch, and a current member only if all
// senders are members.
func (s *State) removeOldestSender() {
	if len(s.Senders) < MaxSenders {
		return
	}
	victim, member, oldest := "", true, uint64(0)
	for node, sender := range s.Senders {
		_, isMember := s.Ownership.Member(node)
		if victim == "" || (member && !isMember) || (member == isMember && sender.Offset < oldest) {
			victim, member, oldest = node, isMember, sender.Offset
		}
	}
	delete(s.Senders, victim)
}
