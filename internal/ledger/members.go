package ledger

import (
	"github.com/medlarpulley/medlarpulley/internal/ownership"
	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// senderOf returns the process that sent a batch.
func senderOf(o Origin) ownership.Identity {
	return ownership.Identity{Node: o.Node, Incarnation: o.Incarnation}
}

// member returns a member by node name.
func (s *State) member(node string) (Member, bool) {
	m, ok := s.Ownership.Member(node)
	if !ok {
		return Member{}, false
	}
	return newMember(m, s.MemberDetails[node]), true
}

// members returns the members, sorted by name.
func (s *State) members() []Member {
	members := make([]Member, 0, len(s.Ownership.Members()))
	for _, m := range s.Ownership.Members() {
		members = append(members, newMember(m, s.MemberDetails[m.Node]))
	}
	return members
}

func (s *State) join(events []Event, o Origin, r *ledgerv1.Join) []Event {
	for _, field := range []string{r.Address, r.Zone, r.Region, r.HttpAddress} {
		if len(field) > MaxNameBytes {
			return append(events, Malformed{o, "join with a field that is too long"})
		}
	}
	if refusal := s.Ownership.Join(o.Offset, senderOf(o), r.Zone); refusal != ownership.None {
		return append(events, RecordIgnored{o, "join", o.Node, string(refusal)})
	}
	s.JoinCount++
	s.MemberDetails[o.Node] = memberDetails{
		Address: r.Address, HTTPAddress: r.HttpAddress, Region: r.Region, Nodes: r.Nodes, JoinNumber: s.JoinCount,
	}
	m, _ := s.member(o.Node)
	return append(events, MemberJoined{o, m})
}

func (s *State) leave(events []Event, o Origin) []Event {
	m, _ := s.member(o.Node)
	if refusal := s.Ownership.Leave(o.Offset, senderOf(o)); refusal != ownership.None {
		return append(events, RecordIgnored{o, "leave", o.Node, string(refusal)})
	}
	delete(s.MemberDetails, o.Node)
	return append(events, MemberLeft{o, m, false})
}

func (s *State) evict(events []Event, o Origin, r *ledgerv1.Evict) []Event {
	m, _ := s.member(r.Node)
	evicted := ownership.Identity{Node: r.Node, Incarnation: r.Incarnation}
	if refusal := s.Ownership.Evict(o.Offset, senderOf(o), evicted, r.LastRenewalOffset); refusal != ownership.None {
		return append(events, RecordIgnored{o, "evict", r.Node, string(refusal)})
	}
	delete(s.MemberDetails, r.Node)
	return append(events, MemberLeft{o, m, true})
}

func (s *State) renew(events []Event, o Origin, r *ledgerv1.Renewal) []Event {
	if refusal := s.Ownership.Renew(o.Offset, senderOf(o), r.ReadOffset); refusal != ownership.None {
		return append(events, RecordIgnored{o, "renewal", o.Node, string(refusal)})
	}
	m, _ := s.Ownership.Member(o.Node)
	return append(events, MemberRenewed{o, m.ReadOffset})
}
