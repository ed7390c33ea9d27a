package front

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
)

// newCancelHandler returns a handler for a queue and the teams a and b, and the node behind it.
func newCancelHandler() (*Handler, *fakeNode) {
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

// Guards against a 410 to the cancellation of a submission whose append is open, at this node or
// at another one: it is stored after that, and runs.
func TestCancellationOfAnUnstoredSubmissionIsStored(t *testing.T) {
	for name, c := range map[string]struct {
		storage        int64
		append, reread error
		status         int
		stored         bool
	}{
		"the store takes the cancellation":          {status: http.StatusAccepted, stored: true},
		"the store refuses the cancellation":        {append: didNotRunError(), status: http.StatusServiceUnavailable},
		"the append of the cancellation is open":    {append: mayHaveRunError(), status: http.StatusGatewayTimeout},
		"there is no memory for cancellations":      {storage: maxTestStorage, status: http.StatusServiceUnavailable},
		"the topic cannot be read up to its end":    {reread: didNotRunError(), status: http.StatusServiceUnavailable},
		"the append of the submission is open here": {status: http.StatusAccepted, stored: true},
	} {
		t.Run(name, func(t *testing.T) {
			f, n := newCancelHandler()
			n.storage, n.catchUp, n.mayStore = c.storage, c.reread, strings.Contains(name, "open here")
			n.append = appendReturns(c.append)
			w := callAs(f, "a", "DELETE", "/q/"+id)
			if w.Code != c.status {
				t.Errorf("status %d, want %d: %s", w.Code, c.status, w.Body)
			}
			if got := len(n.stored) == 1 && strings.HasPrefix(n.stored[0], "x/"+id+"/"); got != c.stored {
				t.Errorf("stored %v", n.stored)
			}
			if c.status == http.StatusServiceUnavailable && w.Header().Get("Retry-After") == "" {
				t.Error("the refusal does not say when to come back")
			}
		})
	}
}

// Guards against a 410 to a caller that asks for its submission while this node is storing it.
func TestStateOfASubmissionWhoseAppendIsOpenIsUnknown(t *testing.T) {
	f, n := newCancelHandler()
	n.mayStore = true
	if w := callAs(f, "a", "GET", "/q/"+id); w.Code != http.StatusServiceUnavailable {
		t.Errorf("status %d: %s", w.Code, w.Body)
	}
	n.mayStore = false
	if w := callAs(f, "a", "GET", "/q/"+id); w.Code != http.StatusGone {
		t.Errorf("without an open append the status is %d", w.Code)
	}
}
