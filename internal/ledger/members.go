package ledger

import (
	"maps"
	"slices"

	"github.com/medlarpulley/medlarpulley/internal/ownership"
	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// identity returns the process that sent a batch.
func identity(o Origin) ownership.Identity {
	return ownership.Identity{Node: o.Node, Incarnation: o.Incarnation}
}

// member returns the member that sent a batch, or nil.
func (s *State) member(o Origin) *Member {
	m := s.Members[o.Node]
	if m == nil || m.Incarnation != o.Incarnation {
		return nil
	}
	return m
}

func (s *State) join(events []Event, o Origin, r *ledgerv1.Join) []Event {
	for _, field := range []string{r.Address, r.Zone, r.Region, r.HttpAddress} {
		if len(field) > MaxName {
			return append(events, Malformed{o, "join with a field that is too long"})
		}
	}
	if s.member(o) != nil {
		return append(events, RecordIgnored{o, "join", o.Node, "already a member"})
	}
	if s.Members[o.Node] == nil && len(s.Members) >= MaxMembers {
		return append(events, RecordIgnored{o, "join", o.Node, "too many members"})
	}
	if !s.Book.Join(o.Offset, identity(o), r.Zone) {
		return append(events, RecordIgnored{o, "join", o.Node, "a newer incarnation has joined before"})
	}
	s.Joins++
	m := &Member{
		Node: o.Node, Incarnation: o.Incarnation, Address: r.Address, HTTPAddress: r.HttpAddress,
		Zone: r.Zone, Region: r.Region, Nodes: r.Nodes, JoinNumber: s.Joins,
		JoinOffset: o.Offset, RenewalOffset: o.Offset, ReadOffset: o.Offset,
	}
	s.Members[o.Node] = m
	s.recordSet(o.Offset)
	return append(events, MemberJoined{o, *m})
}

func (s *State) leave(events []Event, o Origin) []Event {
	m := s.member(o)
	if m == nil {
		return append(events, RecordIgnored{o, "leave", o.Node, "not a member"})
	}
	s.Book.Leave(o.Offset, identity(o))
	return s.remove(events, o, m, false)
}

func (s *State) evict(events []Event, o Origin, r *ledgerv1.Evict) []Event {
	m := s.Members[r.Node]
	switch {
	case s.member(o) == nil:
		return append(events, RecordIgnored{o, "evict", r.Node, "sender is not a member"})
	case m == nil || m.Incarnation != r.Incarnation:
		return append(events, RecordIgnored{o, "evict", r.Node, "not a member"})
	case m.RenewalOffset > r.LastRenewalOffset:
		return append(events, RecordIgnored{o, "evict", r.Node, "renewed since"})
	}
	s.Book.Evict(o.Offset, ownership.Identity{Node: m.Node, Incarnation: m.Incarnation}, r.LastRenewalOffset)
	return s.remove(events, o, m, true)
}

func (s *State) remove(events []Event, o Origin, m *Member, evicted bool) []Event {
	delete(s.Members, m.Node)
	s.recordSet(o.Offset)
	return append(events, MemberLeft{o, *m, evicted})
}

func (s *State) renew(events []Event, o Origin, r *ledgerv1.Renewal) []Event {
	m := s.member(o)
	if m == nil {
		return append(events, RecordIgnored{o, "renewal", o.Node, "not a member"})
	}
	m.RenewalOffset = o.Offset
	// A node cannot have read past the record that says so.
	m.ReadOffset = max(m.ReadOffset, min(r.ReadOffset, o.Offset))
	s.Book.Renew(o.Offset, identity(o), m.ReadOffset)
	return append(events, MemberRenewed{o, m.ReadOffset})
}

// recordSet adds the current members to the history.
func (s *State) recordSet(offset uint64) {
	set := MemberSet{Offset: offset, Nodes: slices.Sorted(maps.Keys(s.Members))}
	if len(s.Sets) >= MaxMemberSets {
		s.Sets = slices.Delete(s.Sets, 0, len(s.Sets)-MaxMemberSets+1)
	}
	s.Sets = append(s.Sets, set)
}

// memberSetsSince returns the member set in force at an offset and the later
// ones. The result is incomplete if the history does not reach back to offset.
func (s *State) memberSetsSince(offset uint64) (sets []MemberSet, complete bool) {
	for i := len(s.Sets) - 1; i >= 0; i-- {
		if s.Sets[i].Offset <= offset {
			return slices.Clone(s.Sets[i:]), true
		}
	}
	// The first set of the first join is the beginning of the history.
	complete = uint64(len(s.Sets)) < MaxMemberSets
	return slices.Clone(s.Sets), complete
}
