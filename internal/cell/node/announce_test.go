package node

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/config"
	"github.com/medlarpulley/medlarpulley/internal/standin/users"
)

// Guards against a node that calls a store which refuses it without a pause, as
// all nodes would do at once in an outage.
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
	go n.nodes.Run(ctx)
	if !n.nodes.Ready(ctx) {
		t.Fatal("the store is not read")
	}
	store.Set(users.Refusing)
	go n.announcer.Run(ctx)
	const pauses = 3
	begun := time.Now()
	announced := make(chan struct{})
	go func() {
		n.announce(ctx)
		close(announced)
	}()
	for store.Appends() <= pauses {
		time.Sleep(time.Millisecond)
	}
	if took := time.Since(begun); took < pauses*announcePause {
		t.Errorf("%d refused heartbeats within %s, want a pause of %s after each", pauses+1, took, announcePause)
	}
	cancel()
	<-announced
}
