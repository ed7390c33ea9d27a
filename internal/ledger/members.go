package ledger

import (
	"github.com/medlarpulley/medlarpulley/internal/ownership"
	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// identity returns the process that sent a batch.
func identity(o Origin) ownership.Identity {
	return ownership.Identity{Node: o.Node, Incarnation: o.Incarnation}
}

// member returns a member by name. Book decides who is one.
func (s *State) member(node string) (Member, bool) {
	m, ok := s.Book.Member(node)
	if !ok {
		return Member{}, false
	}
	return newMember(m, s.Details[node]), true
}

// members returns the members, sorted by name.
func (s *State) members() []Member {
	members := make([]Member, 0, len(s.Book.Members()))
	for _, m := range s.Book.Members() {
		members = append(members, newMember(m, s.Details[m.Node]))
	}
	return members
}

func (s *State) join(events []Event, o Origin, r *ledgerv1.Join) []Event {
	for _, field := range []string{r.Address, r.Zone, r.Region, r.HttpAddress} {
		if len(field) > MaxName {
			return append(events, Malformed{o, "join with a field that is too long"})
		}
	}
	if refusal := s.Book.Join(o.Offset, identity(o), r.Zone); refusal != ownership.None {
		return append(events, RecordIgnored{o, "join", o.Node, string(refusal)})
	}
	s.Joins++
	s.Details[o.Node] = memberDetails{
		Address: r.Address, HTTPAddress: r.HttpAddress, Region: r.Region, Nodes: r.Nodes, JoinNumber: s.Joins,
	}
	m, _ := s.member(o.Node)
	return append(events, MemberJoined{o, m})
}

func (s *State) leave(events []Event, o Origin) []Event {
	m, _ := s.member(o.Node)
	if refusal := s.Book.Leave(o.Offset, identity(o)); refusal != ownership.None {
		return append(events, RecordIgnored{o, "leave", o.Node, string(refusal)})
	}
	delete(s.Details, o.Node)
	return append(events, MemberLeft{o, m, false})
}

func (s *State) evict(events []Event, o Origin, r *ledgerv1.Evict) []Event {
	m, _ := s.member(r.Node)
	evicted := ownership.Identity{Node: r.Node, Incarnation: r.Incarnation}
	if refusal := s.Book.Evict(o.Offset, identity(o), evicted, r.LastRenewalOffset); refusal != ownership.None {
		return append(events, RecordIgnored{o, "evict", r.Node, string(refusal)})
	}
	delete(s.Details, r.Node)
	return append(events, MemberLeft{o, m, true})
}

func (s *State) renew(events []Event, o Origin, r *ledgerv1.Renewal) []Event {
	if refusal := s.Book.Renew(o.Offset, identity(o), r.ReadOffset); refusal != ownership.None {
		return append(events, RecordIgnored{o, "renewal", o.Node, string(refusal)})
	}
	m, _ := s.Book.Member(o.Node)
	return append(events, MemberRenewed{o, m.ReadOffset})
}
