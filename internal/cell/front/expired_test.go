package front

import (
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
)

// Guards against the answer that there is no submission, which is an accepted one that has
// just finished: a node that reads the newest records in parts has its summary, and not yet
// its final progress.
func TestFinishedSubmissionIsNotTakenForADeletedOne(t *testing.T) {
	summary := &cell.Submission{ID: id, Team: "a", Queue: cell.Queue{Name: "q"}, Finished: true}
	for name, c := range map[string]struct {
		stores map[string]registry.Entry
		status int
	}{
		"its progress follows":    {map[string]registry.Entry{id: {Submission: summary, Progress: cell.Progress{State: cell.Completed}}}, 200},
		"its records are deleted": {nil, 410},
	} {
		t.Run(name, func(t *testing.T) {
			d := &cell.Desired{
				Queues: []cell.Queue{{Name: "q", Host: "h.example", PathPrefix: "/q/"}}, Teams: map[string]cell.Team{"a": {Name: "a", Keys: []string{"key-a"}}},
			}
			d.IndexKeys()
			n := &fakeNode{desired: d, fresh: true, stores: c.stores, entries: map[string]registry.Entry{
				id: {Submission: summary, Progress: cell.Progress{State: cell.Active}},
			}}
			f := &Handler{State: n, Records: n, Forwarder: n, Logger: slog.New(slog.DiscardHandler), WallClock: func() time.Duration { return 0 }}
			r := httptest.NewRequest("GET", "http://h.example/q/"+id, nil)
			r.Header.Set("Authorization", "Token key-a")
			w := httptest.NewRecorder()
			f.ServeHTTP(w, r)
			if w.Code != c.status {
				t.Errorf("status %d, want %d: %s", w.Code, c.status, w.Body)
			}
		})
	}
}
