package node

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/config"
)

// Guards against a node that calls a store which refuses it without a pause, as
// all nodes would do at once in an outage.
func TestHeartbeatsPauseWhileTheStoreRefuses(t *testing.T) {
	var appends atomic.Int64
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/log-append" {
			appends.Add(1)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusNotFound) // an empty topic
	}))
	defer store.Close()
	s := config.Default()
	s.Node.Name, s.Node.Zone = "n1", "z"
	s.Platform.Store = strings.TrimPrefix(store.URL, "http://")
	n, err := New(s, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer n.pool.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go n.nodes.Run(ctx)
	go n.announcer.Run(ctx)
	const pauses = 3
	begun := time.Now()
	announced := make(chan struct{})
	go func() {
		n.announce(ctx)
		close(announced)
	}()
	for appends.Load() <= pauses {
		time.Sleep(time.Millisecond)
	}
	if took := time.Since(begun); took < pauses*announcePause {
		t.Errorf("%d refused heartbeats within %s, want a pause of %s after each", pauses+1, took, announcePause)
	}
	cancel()
	<-announced
}
