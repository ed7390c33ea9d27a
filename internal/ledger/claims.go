package ledger

import (
	"github.com/medlarpulley/medlarpulley/internal/ownership"
	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

func (s *State) claim(events []Event, o Origin, r *ledgerv1.Claim) []Event {
	if !isValidName(r.Shard) {
		return append(events, Malformed{o, "claim without a shard"})
	}
	current := s.claimOf(r.Shard)
	if refusal := s.Ownership.Claim(o.Offset, senderOf(o), r.Shard, r.Supersedes); refusal != ownership.None {
		return append(events, ClaimIgnored{o, r.Shard, r.Supersedes, current, string(refusal)})
	}
	return append(events, ClaimEffective{o, s.claimOf(r.Shard), current})
}

func (s *State) release(events []Event, o Origin, r *ledgerv1.Release) []Event {
	if len(r.Successor) > MaxNameBytes {
		return append(events, Malformed{o, "release with a successor that is too long"})
	}
	if refusal := s.Ownership.Release(o.Offset, senderOf(o), r.Shard, r.Token, r.Successor); refusal != ownership.None {
		return append(events, RecordIgnored{o, "release", r.Shard, string(refusal)})
	}
	return append(events, ShardReleased{o, s.claimOf(r.Shard)})
}

// notOwner is the reason for ignoring a record whose sender does not own the
// shard under the given fencing token.
const notOwner = string(ownership.NotHeld)

// isOwner reports whether the sender of a batch owns a shard under a fencing
// token.
func (s *State) isOwner(o Origin, shard string, token uint64) bool {
	return s.Ownership.Holding(shard).HeldBy(senderOf(o), token)
}

// claimOf returns the current claim of a shard. Its token is zero if the shard
// was never claimed.
func (s *State) claimOf(shard string) Claim {
	h := s.Ownership.Holding(shard)
	return Claim{
		Shard: shard, Token: h.Token, Node: h.Owner.Node, Incarnation: h.Owner.Incarnation,
		Epoch: h.Epoch, Released: h.Released, Successor: h.Successor,
	}
}

// claims returns the current claims of all shards, sorted by shard name.
func (s *State) claims() []Claim {
	shards := s.Ownership.Shards()
	claims := make([]Claim, 0, len(shards))
	for _, shard := range shards {
		claims = append(claims, s.claimOf(shard))
	}
	return claims
}
