package ownership

import (
	"math"
	"slices"
	"strings"
)

// maxMemberSets is the largest number of member sets in the history; see
// trimMemberSets for the effect of dropping older ones.
const maxMemberSets = 256

// Bounds of the state. They decide which records take effect, so they must be
// the same on all nodes and are constants of a release.
const (
	// MaxMembers is the largest number of entry nodes that are members at one
	// time.
	MaxMembers = 256
	// MaxShards is the largest number of shards that can be claimed.
	MaxShards = 4096
	// maxNodeNames is the largest number of distinct node names in one log.
	maxNodeNames = 4096
)

// StateMachine applies the records about members and claims to a State and
// decides which of them take effect. The result depends only on the records and
// their offsets.
type StateMachine struct {
	state State
	// incarnations is the highest incarnation that ever joined under each node
	// name; an evicted process rejoins under a new one. It has at most
	// maxNodeNames entries.
	incarnations map[string]uint64
}

// NewStateMachine returns a StateMachine without members.
func NewStateMachine() *StateMachine {
	return &StateMachine{state: State{Holdings: map[string]Holding{}}, incarnations: map[string]uint64{}}
}

// SetReadOffset records that everything below offset next has been read.
func (b *StateMachine) SetReadOffset(next uint64) { b.state.ReadOffset = max(b.state.ReadOffset, next) }

// Join adds a member, or replaces an earlier incarnation of it.
func (b *StateMachine) Join(offset uint64, id Identity, zone string) Refusal {
	last, known := b.incarnations[id.Node]
	switch {
	case b.IsMember(id):
		return AlreadyMember
	case last >= id.Incarnation:
		return OldIncarnation
	case !known && len(b.incarnations) >= maxNodeNames:
		return TooManyNames
	}
	members := b.membersWithout(id.Node)
	if len(members) >= MaxMembers {
		return TooManyMembers
	}
	b.incarnations[id.Node] = id.Incarnation
	b.preserveHolder(id.Node)
	b.markRejoined(id)
	members = append(members, Member{Identity: id, Zone: zone, Joined: offset, Renewed: offset, ReadOffset: offset})
	slices.SortFunc(members, func(x, y Member) int { return strings.Compare(x.Node, y.Node) })
	b.setMembers(offset, members)
	return None
}

// markRejoined marks previous holders that are earlier incarnations of a node
// as ended.
func (b *StateMachine) markRejoined(id Identity) {
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
func (b *StateMachine) Leave(offset uint64, id Identity) Refusal {
	if !b.IsMember(id) {
		return NotMember
	}
	b.preserveHolder(id.Node)
	b.setMembers(offset, b.membersWithout(id.Node))
	return None
}

// Evict removes a member at the request of another member, unless it has
// renewed after lastRenewal.
func (b *StateMachine) Evict(offset uint64, sender, id Identity, lastRenewal uint64) Refusal {
	if !b.IsMember(sender) {
		return SenderNotMember
	}
	if m, _ := b.Member(id.Node); m.Identity == id && m.Renewed > lastRenewal {
		return RenewedSince
	}
	return b.Leave(offset, id)
}

// Renew records a renewal. It proves that the sender has read every claim below
// readOffset, so it has given up the tokens that these claims superseded. A
// renewal cannot have read past its own offset, so readOffset is capped there.
func (b *StateMachine) Renew(offset uint64, id Identity, readOffset uint64) Refusal {
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

// Claim makes a member the owner of a shard if supersedes is the current token.
func (b *StateMachine) Claim(offset uint64, id Identity, shard string, supersedes uint64) Refusal {
	h := b.state.Holdings[shard]
	switch {
	case !b.IsMember(id):
		return SenderNotMember
	case h.Token != supersedes:
		return TokenMismatch
	case h.Token == 0 && len(b.state.Holdings) >= MaxShards:
		return TooManyShards
	case h.Token == offset:
		return SameBatch
	}
	previous := slices.DeleteFunc(slices.Clone(h.Previous), func(p Holder) bool { return p.Token == h.Token })
	if h.Token != 0 && !h.Released {
		previous = append(previous, b.supersededHolder(h, offset))
	}
	b.state.Holdings[shard] = Holding{Token: offset, Epoch: h.Epoch + 1, Owner: id, Previous: previous}
	return None
}

// Release ends the ownership of a shard. An owner releases only shards that
// it has authority over, so all earlier holders are proved to have given up
// their tokens.
func (b *StateMachine) Release(_ uint64, id Identity, shard string, token uint64, successor string) Refusal {
	h := b.state.Holdings[shard]
	if !h.HeldBy(id, token) {
		return NotHeld
	}
	h.Released, h.Successor, h.Previous = true, successor, nil
	b.state.Holdings[shard] = h
	return None
}

// preserveHolder copies what is known about a member that is about to be removed
// into the holdings that it owns.
func (b *StateMachine) preserveHolder(node string) {
	for name, h := range b.state.Holdings {
		if h.Owner.Node != node || h.Released {
			continue
		}
		holder := b.supersededHolder(h, math.MaxUint64)
		if !slices.ContainsFunc(h.Previous, func(p Holder) bool { return p.Token == h.Token }) {
			h.Previous = append(slices.Clone(h.Previous), holder)
			b.state.Holdings[name] = h
		}
	}
}

// supersededHolder returns the owner of h as a Holder that is superseded at an
// offset.
func (b *StateMachine) supersededHolder(h Holding, at uint64) Holder {
	if i := slices.IndexFunc(h.Previous, func(p Holder) bool { return p.Token == h.Token }); i >= 0 {
		p := h.Previous[i]
		p.SupersededAt = at
		return p
	}
	// An owner acts only after it has read its own claim, so its read offset
	// is at least the token.
	p := Holder{Identity: h.Owner, Token: h.Token, Renewed: h.Token, ReadOffset: h.Token, SupersededAt: at}
	if m, ok := b.Member(h.Owner.Node); ok && m.Identity == h.Owner {
		p.Renewed, p.ReadOffset = m.Renewed, max(m.ReadOffset, h.Token)
	}
	return p
}

func (b *StateMachine) membersWithout(node string) []Member {
	return slices.DeleteFunc(slices.Clone(b.state.Members), func(m Member) bool { return m.Node == node })
}

func (b *StateMachine) setMembers(offset uint64, members []Member) {
	b.state.Members = members
	names := make([]string, len(members))
	for i, m := range members {
		names[i] = m.Node
	}
	b.state.Sets = append(slices.Clone(b.state.Sets), MemberSet{From: offset, Names: names})
	b.trimMemberSets()
}

// trimMemberSets drops the sets that ended before every holder's read offset,
// and the oldest ones beyond maxMemberSets. After the latter, the From of the
// first remaining set can lie above the read offset of an old holder. Then
// acknowledgements are not sufficient to take over from that holder, and the
// successor waits for OutageTakeoverDelay.
func (b *StateMachine) trimMemberSets() {
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
	for len(sets) > 1 && (sets[1].From < oldest || len(sets) > maxMemberSets) {
		sets = sets[1:]
	}
	b.state.Sets = sets
}
