package ownership

import (
	"math"
	"slices"
	"strings"
)

// maxSets bounds the history of member sets. The oldest sets are merged into
// one entry that keeps the range covered; see trimSets.
const maxSets = 256

// maxNames bounds the node names that are ever used in one log.
const maxNames = 4096

// Book folds the records about members and claims into a State. The result is
// a function of the records and their offsets.
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

// State returns the current state. The caller must not change it; Book
// replaces the slices and the map entries instead of writing into them.
func (b *Book) State() State {
	s := b.state
	s.Holdings = make(map[string]Holding, len(b.state.Holdings))
	for name, h := range b.state.Holdings {
		s.Holdings[name] = h
	}
	return s
}

// Read notes that everything below offset next has been read.
func (b *Book) Read(next uint64) { b.state.ReadOffset = max(b.state.ReadOffset, next) }

// Join adds a member, or replaces an earlier incarnation of it.
func (b *Book) Join(offset uint64, id Identity, zone string) bool {
	if b.incarnations[id.Node] >= id.Incarnation {
		return false
	}
	if _, known := b.incarnations[id.Node]; !known && len(b.incarnations) >= maxNames {
		return false
	}
	b.incarnations[id.Node] = id.Incarnation
	b.freeze(id.Node)
	for name, h := range b.state.Holdings {
		h.Previous = slices.Clone(h.Previous)
		for i := range h.Previous {
			if p := &h.Previous[i]; p.Node == id.Node && p.Incarnation < id.Incarnation {
				p.Rejoined = true
			}
		}
		b.state.Holdings[name] = h
	}
	members := b.without(id.Node)
	members = append(members, Member{Identity: id, Zone: zone, Joined: offset, Renewed: offset, ReadOffset: offset})
	slices.SortFunc(members, func(x, y Member) int { return strings.Compare(x.Node, y.Node) })
	b.setMembers(offset, members)
	return true
}

// Leave removes a member.
func (b *Book) Leave(offset uint64, id Identity) bool {
	if !b.state.isMember(id) {
		return false
	}
	b.freeze(id.Node)
	b.setMembers(offset, b.without(id.Node))
	return true
}

// Evict removes a member unless it has renewed after lastRenewal.
func (b *Book) Evict(offset uint64, id Identity, lastRenewal uint64) bool {
	m, ok := b.state.member(id.Node)
	if !ok || m.Incarnation != id.Incarnation || m.Renewed > lastRenewal {
		return false
	}
	return b.Leave(offset, id)
}

// Renew notes a renewal. It proves that the sender has read every claim below
// readOffset, so it no longer believes in tokens that these superseded.
func (b *Book) Renew(offset uint64, id Identity, readOffset uint64) bool {
	if !b.state.isMember(id) {
		return false
	}
	members := slices.Clone(b.state.Members)
	for i := range members {
		if members[i].Node == id.Node {
			members[i].Renewed = offset
			members[i].ReadOffset = max(members[i].ReadOffset, readOffset)
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
	return true
}

// Claim gives a shard to a member if supersedes is the current token.
func (b *Book) Claim(offset uint64, id Identity, shard string, supersedes uint64) bool {
	h := b.state.Holdings[shard]
	if h.Token != supersedes || !b.state.isMember(id) {
		return false
	}
	previous := slices.DeleteFunc(slices.Clone(h.Previous), func(p Holder) bool { return p.Token == h.Token })
	if h.Token != 0 && !h.Released {
		previous = append(previous, b.holder(h, offset))
	}
	b.state.Holdings[shard] = Holding{Token: offset, Owner: id, Previous: previous}
	return true
}

// Release gives up a shard. An owner releases only what it acts on, so the
// holders before it have been proved to have given up.
func (b *Book) Release(_ uint64, id Identity, shard string, token uint64, successor string) bool {
	h := b.state.Holdings[shard]
	if h.Token != token || h.Owner != id || h.Released {
		return false
	}
	h.Released, h.Successor, h.Previous = true, successor, nil
	b.state.Holdings[shard] = h
	return true
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
	if m, ok := b.state.member(h.Owner.Node); ok && m.Identity == h.Owner {
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
