package node

import (
	"context"

	"github.com/medlarpulley/medlarpulley/internal/dispatch"
	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/ledger"
	"github.com/medlarpulley/medlarpulley/internal/logclient"
	"github.com/medlarpulley/medlarpulley/internal/membership"
	"github.com/medlarpulley/medlarpulley/internal/peer"
	"github.com/medlarpulley/medlarpulley/internal/requests"
)

// Dump is the diagnostic state of an entry node, written as JSON.
type Dump struct {
	Node        string                 `json:"node"`
	Incarnation uint64                 `json:"incarnation"`
	Servable    bool                   `json:"servable"`
	Draining    bool                   `json:"draining"`
	Revision    uint64                 `json:"revision"`
	Ledger      ledger.Status          `json:"ledger"`
	Log         logclient.Contact      `json:"log"`
	Members     []ledger.Member        `json:"members"`
	Claims      []ledger.Claim         `json:"claims"`
	Allotments  []ledger.Allotment     `json:"pools"`
	Shards      []dispatch.Dump        `json:"shards"`
	Gangs       []GangDump             `json:"gangs"`
	Requests    requests.Dump          `json:"requests"`
	Waits       map[string]WaitSummary `json:"waits"`
	Peer        map[string]peer.Count  `json:"peer"`
}

// Dump implements gateway.Backend.
func (n *Node) Dump(context.Context) (any, error) {
	d := Dump{
		Node: n.settings.Node.Name, Incarnation: n.incarnation, Servable: n.servable.Load(), Draining: n.draining.Load(),
		Revision: n.configurations.get().revision, Ledger: n.replica.Status(), Log: n.logClient.Contact(),
		Members: n.replica.Members(), Claims: n.replica.Claims(), Allotments: n.replica.Allotments(""),
		Requests: n.requests.Dump(), Waits: n.waitTimes.summary(), Peer: n.peerCounts.Snapshot(), Gangs: n.gangs.dump(),
	}
	for _, o := range n.shards.all() {
		d.Shards = append(d.Shards, o.dispatcher.Dump())
	}
	return d, nil
}

// RevisionStatus implements gateway.Backend.
func (n *Node) RevisionStatus(_ context.Context, revision uint64) (gateway.RevisionStatus, error) {
	current := n.configurations.get().revision
	out := gateway.RevisionStatus{Revision: revision, Current: current}
	if revision == 0 {
		out.Revision = current
	}
	known := map[string]uint64{n.settings.Node.Name: current}
	for _, v := range n.peerTracker.views() {
		if v.HasAnswered && v.Status == membership.Alive {
			known[v.Node] = v.Revision
		}
	}
	for _, m := range n.replica.Members() {
		out.Members++
		if at, ok := known[m.Node]; ok && at >= out.Revision {
			out.InForce++
		} else {
			out.Behind = append(out.Behind, m.Node)
		}
	}
	return out, nil
}
