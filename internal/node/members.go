package node

import (
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/ledger"
	"github.com/medlarpulley/medlarpulley/internal/requests"
)

// voterRetention is how long a member that has left still counts in majorities
// over request ids. It equals the retention of request ids.
const voterRetention = 10 * time.Minute

// members provides the request path with the members of the cluster.
type members struct {
	node *Node

	mu               sync.Mutex
	leftAt           map[string]time.Duration
	lastChangeOffset uint64
}

func newMembers(n *Node) *members { return &members{node: n, leftAt: map[string]time.Duration{}} }

// recordChanges records when members left, and the offset of the latest change.
func (m *members) recordChanges(events []ledger.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range events {
		switch ev := e.(type) {
		case ledger.MemberLeft:
			m.leftAt[ev.Member.Node] = m.node.clock.Now()
			m.lastChangeOffset = ev.Offset
		case ledger.MemberJoined:
			m.lastChangeOffset = ev.Offset
		}
	}
}

// View implements requests.Members.
func (m *members) View() requests.View {
	n := m.node
	view := requests.View{
		Self: n.settings.Node.Name, Incarnation: n.incarnation, Configured: n.settings.Cluster.Nodes,
	}
	now := n.clock.Now()
	current := map[string]bool{}
	for _, member := range n.replica.Members() {
		current[member.Node] = true
		view.Voters = append(view.Voters, member.Node)
		view.Members = append(view.Members, member.Node)
		if member.Node == view.Self && member.Incarnation == n.incarnation {
			view.InitialMember = member.JoinNumber <= uint64(n.settings.Cluster.Nodes)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	view.Offset = m.lastChangeOffset
	for name, at := range m.leftAt {
		if now-at > voterRetention {
			delete(m.leftAt, name)
		} else if !current[name] {
			view.Voters = append(view.Voters, name)
		}
	}
	return view
}
