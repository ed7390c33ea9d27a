package front

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
)

// maxTestStorage is the memory for stored submissions of a test handler, in bytes.
const maxTestStorage = 1_000_000

// newTestHandler returns a handler for a queue and the teams a and b, and the node behind it.
func newTestHandler() (*Handler, *fakeNode) {
	d := &cell.Desired{
		Queues: []cell.Queue{{Name: "q", Host: "h.example", PathPrefix: "/q/"}},
		Teams:  map[string]cell.Team{"a": {Name: "a", Keys: []string{"key-a"}}, "b": {Name: "b", Keys: []string{"key-b"}}},
	}
	d.IndexKeys()
	n := &fakeNode{desired: d, fresh: true, entries: map[string]registry.Entry{}, forward: forwardAnswers(nil, didNotRunError())}
	f := &Handler{State: n, Records: n, Forwarder: n, Logger: slog.New(slog.DiscardHandler), WallClock: func() time.Duration { return 0 }, MaxStorage: maxTestStorage}
	return f, n
}

// appendReturns returns an append that ends with an error; nil for success.
func appendReturns(err error) func(context.Context) error {
	return func(context.Context) error { return err }
}

// callAs calls the handler with the API key of a team.
func callAs(f *Handler, team, method, path string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, "http://h.example"+path, nil)
	r.Header.Set("Authorization", "Token key-"+team)
	w := httptest.NewRecorder()
	f.ServeHTTP(w, r)
	return w
}
