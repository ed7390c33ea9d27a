package node

import (
	"log/slog"
	"testing"

	"github.com/medlarpulley/medlarpulley/internal/cell/config"
)

// newUnconnectedNode returns the node n1, which does not run and reaches no store.
func newUnconnectedNode(t *testing.T) *Node {
	t.Helper()
	s := config.Default()
	s.Node.Name, s.Node.Zone = "n1", "z"
	s.Platform.Store, s.Platform.Advice = "127.0.0.1:1", "127.0.0.1:1" // nothing listens there
	n, err := New(s, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.pool.Close)
	return n
}
