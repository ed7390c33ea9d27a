package devcluster

import (
	"context"
	"sync"

	"github.com/medlarpulley/medlarpulley/internal/node"
)

// Member is one entry node of the cluster. The node can be restarted under the
// same name.
type Member struct {
	Name string
	Zone string

	mu     sync.Mutex
	node   *node.Node
	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

// run runs an entry node in the background.
func (m *Member) run(n *node.Node) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	m.mu.Lock()
	m.node, m.cancel, m.done = n, cancel, done
	m.mu.Unlock()
	go func() {
		defer close(done)
		err := n.Run(ctx)
		m.mu.Lock()
		m.err = err
		m.mu.Unlock()
	}()
}

// Node returns the running entry node, or the last one if none is running.
func (m *Member) Node() *node.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node
}

// Address returns the HTTP address of the node.
func (m *Member) Address() string { return m.Node().HTTPAddress() }

// Kill stops the node immediately, as if its process had died. It releases no
// shards.
func (m *Member) Kill() {
	m.Node().Kill()
	m.wait()
}

// Drain stops the node gracefully, waits until it has stopped and returns the
// error of its run.
func (m *Member) Drain() error {
	m.mu.Lock()
	cancel := m.cancel
	m.mu.Unlock()
	cancel()
	m.wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.err
}

// wait blocks until the node has stopped.
func (m *Member) wait() {
	m.mu.Lock()
	done := m.done
	m.mu.Unlock()
	<-done
}
