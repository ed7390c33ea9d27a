package ledger

import "github.com/medlarpulley/medlarpulley/internal/ownership"

// Member is an entry node that has joined and has neither left nor been evicted.
type Member struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address"`
	HTTPAddress string `json:"http_address"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	// Nodes is the configured number of entry nodes that the member declared.
	Nodes int32 `json:"nodes"`
	// JoinNumber is the position of the join among all joins in the log,
	// starting at 1. A node that rejoins with a new incarnation gets a new number.
	JoinNumber uint64 `json:"join_number"`
	JoinOffset uint64 `json:"join_offset"`
	// RenewalOffset is the offset of the last renewal, or JoinOffset.
	RenewalOffset uint64 `json:"renewal_offset"`
	// ReadOffset is the next offset to read, as last reported by the member.
	ReadOffset uint64 `json:"read_offset"`
}

// newMember combines the membership state with the details from the join record.
func newMember(m ownership.Member, d memberDetails) Member {
	return Member{
		Node: m.Node, Incarnation: m.Incarnation, Address: d.Address, HTTPAddress: d.HTTPAddress,
		Zone: m.Zone, Region: d.Region, Nodes: d.Nodes, JoinNumber: d.JoinNumber,
		JoinOffset: m.Joined, RenewalOffset: m.Renewed, ReadOffset: m.ReadOffset,
	}
}
