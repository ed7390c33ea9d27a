package node

import (
	"log/slog"
	"testing"

	"github.com/medlarpulley/medlarpulley/internal/cell/config"
)

// newUnconnectedNode returns the node n1, which does not run and reaches no store.
func newUnconnectedNode(t *testing.T) *Node {
	t.Helper()
	return newNodeWithAdvice(t, "127.0.0.1:1") // nothing listens there
}

// newNodeWithAdvice returns the node n1, which does not run and reaches no store but the
// advice service at an address.
func newNodeWithAdvice(t *testing.T, address string) *Node {
	t.Helper()
	s := config.Default()
	s.Node.Name, s.Node.Zone = "n1", "z"
	s.Platform.Store, s.Platform.Advice = "127.0.0.1:1", address // nothing listens at the store's
	n, err := New(s, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.pool.Close)
	return n
}
