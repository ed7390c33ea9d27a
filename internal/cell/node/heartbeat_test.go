package node

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/config"
	"github.com/medlarpulley/medlarpulley/internal/standin/users"
)

// Guards against a node that retries its heartbeats without a delay while the
// store refuses them: in an outage all nodes would do so at the same time.
func TestHeartbeatsPauseWhileTheStoreRefuses(t *testing.T) {
	store := users.NewStore()
	defer store.Close()
	s := config.Default()
	s.Node.Name, s.Node.Zone = "n1", "z"
	s.Platform.Store = store.Address()
	n, err := New(s, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer n.pool.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go n.nodesReader.Run(ctx)
	if !n.nodesReader.WaitFirstRead(ctx) {
		t.Fatal("the nodes topic was not read")
	}
	store.SetFault(users.RejectAll)
	go n.heartbeatAppender.Run(ctx)
	const pauses = 3
	begun := time.Now()
	announced := make(chan struct{})
	go func() {
		n.sendHeartbeats(ctx)
		close(announced)
	}()
	for store.Appends() <= pauses {
		time.Sleep(time.Millisecond)
	}
	if took := time.Since(begun); took < pauses*heartbeatRetryDelay {
		t.Errorf("%d refused heartbeats within %s, want a pause of %s after each", pauses+1, took, heartbeatRetryDelay)
	}
	cancel()
	<-announced
}
