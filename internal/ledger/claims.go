package ledger

import (
	"github.com/medlarpulley/medlarpulley/internal/ownership"
	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

func (s *State) claim(events []Event, o Origin, r *ledgerv1.Claim) []Event {
	if !validName(r.Shard) {
		return append(events, Malformed{o, "claim without a shard"})
	}
	current := s.claimOf(r.Shard)
	if refusal := s.Book.Claim(o.Offset, identity(o), r.Shard, r.Supersedes); refusal != ownership.None {
		return append(events, ClaimIgnored{o, r.Shard, r.Supersedes, current, string(refusal)})
	}
	return append(events, ClaimEffective{o, s.claimOf(r.Shard), current})
}

func (s *State) release(events []Event, o Origin, r *ledgerv1.Release) []Event {
	if len(r.Successor) > MaxName {
		return append(events, Malformed{o, "release with a successor that is too long"})
	}
	if refusal := s.Book.Release(o.Offset, identity(o), r.Shard, r.Token, r.Successor); refusal != ownership.None {
		return append(events, RecordIgnored{o, "release", r.Shard, string(refusal)})
	}
	return append(events, ShardReleased{o, s.claimOf(r.Shard)})
}

// notHeld is the reason for ignoring a record of a former owner.
const notHeld = string(ownership.NotHeld)

// holds reports whether the sender of a batch owns a shard under the token.
func (s *State) holds(o Origin, shard string, token uint64) bool {
	return s.Book.Holding(shard).HeldBy(identity(o), token)
}

// claimOf returns the claim in force of a shard; its token is zero if the
// shard was never claimed.
func (s *State) claimOf(shard string) Claim {
	h := s.Book.Holding(shard)
	return Claim{
		Shard: shard, Token: h.Token, Node: h.Owner.Node, Incarnation: h.Owner.Incarnation,
		Epoch: h.Epoch, Released: h.Released, Successor: h.Successor,
	}
}

// claims returns the claims of all shards, sorted by shard.
func (s *State) claims() []Claim {
	shards := s.Book.Shards()
	claims := make([]Claim, 0, len(shards))
	for _, shard := range shards {
		claims = append(claims, s.claimOf(shard))
	}
	return claims
}
