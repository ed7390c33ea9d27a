package ownership

import (
	"math"
	"slices"
	"strings"
)

// maxSets bounds the history of member sets. The oldest sets are merged into
// one entry that keeps the range covered; see trimSets.
const maxSets = 256

// Bounds of a Book. They decide what takes effect, so they must be equal on
// all nodes and are constants of a release.
const (
	// MaxMembers bounds the entry nodes that are members at one time.
	MaxMembers = 256
	// MaxShards bounds the shards that can be claimed.
	MaxShards = 4096
	// maxNames bounds the node names that are ever used in one log.
	maxNames = 4096
)

// Book folds the records about members and claims into a State and decides
// which of them take effect. The result is a function of the records and their
// offsets.
type Book struct {
	state State
	// incarnations is the highest incarnation of each name that ever joined;
	// an evicted process rejoins under a new one. Bounded by maxNames.
	incarnations map[string]uint64
}

// NewBook returns a Book without members.
func NewBook() *Book {
	return &Book{state: State{Holdings: map[string]Holding{}}, incarnations: map[string]uint64{}}
}

// Read notes that everything below offset next has been read.
func (b *Book) Read(next uint64) { b.state.ReadOffset = max(b.state.ReadOffset, next) }

// Join adds a member, or replaces an earlier incarnation of it.
func (b *Book) Join(offset uint64, id Identity, zone string) Refusal {
	last, known := b.incarnations[id.Node]
	switch {
	case b.IsMember(id):
		return AlreadyMember
	case last >= id.Incarnation:
		return OldIncarnation
	case !known && len(b.incarnations) >= maxNames:
		return TooManyNames
	}
	members := b.without(id.Node)
	if len(members) >= MaxMembers {
		return TooManyMembers
	}
	b.incarnations[id.Node] = id.Incarnation
	b.freeze(id.Node)
	b.noteRejoin(id)
	members = append(members, Member{Identity: id, Zone: zone, Joined: offset, Renewed: offset, ReadOffset: offset})
	slices.SortFunc(members, func(x, y Member) int { return strings.Compare(x.Node, y.Node) })
	b.setMembers(offset, members)
	return None
}

// noteRejoin marks the earlier incarnations of a node as ended.
func (b *Book) noteRejoin(id Identity) {
	for name, h := range b.state.Holdings {
		h.Previous = slices.Clone(h.Previous)
		for i := range h.Previous {
			if p := &h.Previous[i]; p.Node == id.Node && p.Incarnation < id.Incarnation {
				p.Rejoined = true
			}
		}
		b.state.Holdings[name] = h
	}
}

// Leave removes a member.
func (b *Book) Leave(offset uint64, id Identity) Refusal {
	if !b.IsMember(id) {
		return NotMember
	}
	b.freeze(id.Node)
	b.setMembers(offset, b.without(id.Node))
	return None
}

// Evict removes a member at the request of another one, unless it has renewed
// after lastRenewal.
func (b *Book) Evict(offset uint64, sender, id Identity, lastRenewal uint64) Refusal {
	if !b.IsMember(sender) {
		return SenderNotMember
	}
	if m, _ := b.Member(id.Node); m.Identity == id && m.Renewed > lastRenewal {
		return RenewedSince
	}
	return b.Leave(offset, id)
}

// Renew notes a renewal. It proves that the sender has read every claim below
// readOffset, so it no longer believes in tokens that these superseded. No
// process has read past the record that says so.
func (b *Book) Renew(offset uint64, id Identity, readOffset uint64) Refusal {
	if !b.IsMember(id) {
		return NotMember
	}
	readOffset = min(readOffset, offset)
	members := slices.Clone(b.state.Members)
	for i := range members {
		if members[i].Node == id.Node {
			members[i].Renewed = offset
			readOffset = max(members[i].ReadOffset, readOffset)
			members[i].ReadOffset = readOffset
		}
	}
	b.state.Members = members
	for name, h := range b.state.Holdings {
		if len(h.Previous) == 0 {
			continue
		}
		h.Previous = slices.DeleteFunc(slices.Clone(h.Previous), func(p Holder) bool {
			return p.Identity == id && readOffset > p.SupersededAt
		})
		b.state.Holdings[name] = h
	}
	return None
}

// Claim gives a shard to a member if supersedes is the current token.
func (b *Book) Claim(offset uint64, id Identity, shard string, supersedes uint64) Refusal {
	h := b.state.Holdings[shard]
	switch {
	case !b.IsMember(id):
		return SenderNotMember
	case h.Token != supersedes:
		return OtherClaim
	case h.Token == 0 && len(b.state.Holdings) >= MaxShards:
		return TooManyShards
	case h.Token == offset:
		return SameBatch
	}
	previous := slices.DeleteFunc(slices.Clone(h.Previous), func(p Holder) bool { return p.Token == h.Token })
	if h.Token != 0 && !h.Released {
		previous = append(previous, b.holder(h, offset))
	}
	b.state.Holdings[shard] = Holding{Token: offset, Epoch: h.Epoch + 1, Owner: id, Previous: previous}
	return None
}

// Release gives up a shard. An owner releases only what it acts on, so the
// holders before it have been proved to have given up.
func (b *Book) Release(_ uint64, id Identity, shard string, token uint64, successor string) Refusal {
	h := b.state.Holdings[shard]
	if !h.HeldBy(id, token) {
		return NotHeld
	}
	h.Released, h.Successor, h.Previous = true, successor, nil
	b.state.Holdings[shard] = h
	return None
}

// freeze keeps what is known about a member that is about to be removed in
// the holdings that it owns.
func (b *Book) freeze(node string) {
	for name, h := range b.state.Holdings {
		if h.Owner.Node != node || h.Released {
			continue
		}
		frozen := b.holder(h, math.MaxUint64)
		if !slices.ContainsFunc(h.Previous, func(p Holder) bool { return p.Token == h.Token }) {
			h.Previous = append(slices.Clone(h.Previous), frozen)
			b.state.Holdings[name] = h
		}
	}
}

// holder describes the owner of h as superseded at an offset.
func (b *Book) holder(h Holding, at uint64) Holder {
	if i := slices.IndexFunc(h.Previous, func(p Holder) bool { return p.Token == h.Token }); i >= 0 {
		p := h.Previous[i]
		p.SupersededAt = at
		return p
	}
	// An owner acts only after it has read its own claim.
	p := Holder{Identity: h.Owner, Token: h.Token, Renewed: h.Token, ReadOffset: h.Token, SupersededAt: at}
	if m, ok := b.Member(h.Owner.Node); ok && m.Identity == h.Owner {
		p.Renewed, p.ReadOffset = m.Renewed, max(m.ReadOffset, h.Token)
	}
	return p
}

func (b *Book) without(node string) []Member {
	return slices.DeleteFunc(slices.Clone(b.state.Members), func(m Member) bool { return m.Node == node })
}

func (b *Book) setMembers(offset uint64, members []Member) {
	b.state.Members = members
	names := make([]string, len(members))
	for i, m := range members {
		names[i] = m.Node
	}
	b.state.Sets = append(slices.Clone(b.state.Sets), MemberSet{From: offset, Names: names})
	b.trimSets()
}

// trimSets drops the sets that ended before every holder's read offset, and
// the oldest ones beyond maxSets. The first remaining set then stands for
// dropped ones with a From above the range, which blocks takeover by
// acknowledgements from older holders and leaves them the wait of OutageWait.
func (b *Book) trimSets() {
	oldest := b.state.ReadOffset
	for _, m := range b.state.Members {
		oldest = min(oldest, m.ReadOffset)
	}
	for _, h := range b.state.Holdings {
		for _, p := range h.Previous {
			oldest = min(oldest, p.ReadOffset)
		}
	}
	sets := b.state.Sets
	for len(sets) > 1 && (sets[1].From < oldest || len(sets) > maxSets) {
		sets = sets[1:]
	}
	b.state.Sets = sets
}
