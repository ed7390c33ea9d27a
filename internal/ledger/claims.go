package ledger

import ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"

func (s *State) claim(events []Event, o Origin, r *ledgerv1.Claim) []Event {
	current := Claim{Shard: r.Shard}
	if c := s.Claims[r.Shard]; c != nil {
		current = *c
	}
	reason := ""
	switch {
	case !validName(r.Shard):
		return append(events, Malformed{o, "claim without a shard"})
	case s.member(o) == nil:
		reason = "sender is not a member"
	case r.Supersedes != current.Token:
		reason = "another claim is in force"
	case current.Token == 0 && len(s.Claims) >= MaxShards:
		reason = "too many shards"
	case current.Token == o.Offset:
		reason = "claimed in the same batch"
	}
	if reason != "" {
		return append(events, ClaimIgnored{o, r.Shard, r.Supersedes, current, reason})
	}
	s.Book.Claim(o.Offset, identity(o), r.Shard, r.Supersedes)
	next := Claim{Shard: r.Shard, Token: o.Offset, Node: o.Node, Incarnation: o.Incarnation, Epoch: current.Epoch + 1}
	s.Claims[r.Shard] = &next
	return append(events, ClaimEffective{o, next, current})
}

func (s *State) release(events []Event, o Origin, r *ledgerv1.Release) []Event {
	c := s.holding(o, r.Shard, r.Token)
	if c == nil || len(r.Successor) > MaxName {
		return append(events, RecordIgnored{o, "release", r.Shard, notHeld})
	}
	s.Book.Release(o.Offset, identity(o), r.Shard, r.Token, r.Successor)
	c.Released, c.Successor = true, r.Successor
	return append(events, ShardReleased{o, *c})
}

// notHeld is the reason for ignoring a record of a former owner.
const notHeld = "sender does not own the shard under this token"

// holding returns the claim of a shard if the sender of a batch holds it under
// the token, or nil.
func (s *State) holding(o Origin, shard string, token uint64) *Claim {
	c := s.Claims[shard]
	if c == nil || !c.heldBy(o, token) {
		return nil
	}
	return c
}
