package node

import (
	"sync"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/ledger"
	"github.com/medlarpulley/medlarpulley/internal/requests"
)

// voterWindow is how long a member that has left still counts in majorities
// over request ids. It equals the time for which ids are remembered.
const voterWindow = 10 * time.Minute

// members tells the request path about the entry nodes.
type members struct {
	node *Node

	mu     sync.Mutex
	left   map[string]time.Duration
	offset uint64
}

func newMembers(n *Node) *members { return &members{node: n, left: map[string]time.Duration{}} }

// note remembers members that left.
func (m *members) note(events []ledger.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range events {
		switch ev := e.(type) {
		case ledger.MemberLeft:
			m.left[ev.Member.Node] = m.node.clock.Now()
			m.offset = ev.Offset
		case ledger.MemberJoined:
			m.offset = ev.Offset
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
		view.Live = append(view.Live, member.Node)
		if member.Node == view.Self && member.Incarnation == n.incarnation {
			view.Founder = member.JoinNumber <= uint64(n.settings.Cluster.Nodes)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	view.Offset = m.offset
	for name, at := range m.left {
		if now-at > voterWindow {
			delete(m.left, name)
		} else if !current[name] {
			view.Voters = append(view.Voters, name)
		}
	}
	return view
}
