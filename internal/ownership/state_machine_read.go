package ownership

import (
	"maps"
	"slices"
)

// State returns the current state. The caller must not modify it. Later records
// replace its slices and map entries and never modify them in place.
func (b *StateMachine) State() State {
	s := b.state
	s.Holdings = make(map[string]Holding, len(b.state.Holdings))
	for name, h := range b.state.Holdings {
		s.Holdings[name] = h
	}
	return s
}

// Members returns the members, ordered by name. The caller must not modify them.
func (b *StateMachine) Members() []Member { return b.state.Members }

// Member returns the member with a node name.
func (b *StateMachine) Member(node string) (Member, bool) { return b.state.member(node) }

// IsMember reports whether this incarnation of a node is a member.
func (b *StateMachine) IsMember(id Identity) bool { return b.state.isMember(id) }

// Holding returns the ownership of a shard; its token is zero if the shard was
// never claimed.
func (b *StateMachine) Holding(shard string) Holding { return b.state.Holdings[shard] }

// Shards returns the names of the shards that were ever claimed, sorted.
func (b *StateMachine) Shards() []string { return slices.Sorted(maps.Keys(b.state.Holdings)) }
