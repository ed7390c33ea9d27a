package front

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
)

// Guards against a 410 or 409 to the caller whose work is accepted and runs, since its team was
// renamed or its queue needs a key now, or none any more; and against callers who see or cancel
// the work of others.
func TestAccessToSubmissions(t *testing.T) {
	private, public := cell.Queue{Name: "q", Host: "h.example", PathPrefix: "/q/"}, cell.Queue{Name: "open", Host: "h.example", PathPrefix: "/open/", WithoutKey: true}
	madePublic, renamedToo := private, private
	madePublic.WithoutKey = true
	renamedToo.WithoutKey, renamedToo.Name = true, "renamed"
	own := cell.Submission{ID: id, Team: "a", KeyHash: cell.HashKey("key-a"), Queue: private.Snapshot()}
	renamed := own
	renamed.Team = "former name"
	withoutHash := own
	withoutHash.KeyHash = "" // as an earlier version stored it
	anonymous := cell.Submission{ID: id, Queue: public.Snapshot()}
	for name, c := range map[string]struct {
		stored  cell.Submission
		queue   cell.Queue
		key     string
		allowed bool
	}{
		"own work": {own, private, "key-a", true},
		"own work that an earlier version stored":       {withoutHash, private, "key-a", true},
		"the team was renamed":                          {renamed, private, "key-a", true},
		"another team":                                  {own, private, "key-b", false},
		"another team, which was renamed":               {renamed, private, "key-b", false},
		"the queue needs no key any more":               {own, madePublic, "", true},
		"and the caller still sends its key":            {own, madePublic, "key-a", true},
		"and the queue was renamed":                     {own, renamedToo, "", true},
		"another queue that needs no key":               {own, public, "", false},
		"another queue that needs no key, with the key": {own, public, "key-a", true},
		"work without a key":                            {anonymous, public, "", true},
		"the queue needs a key now":                     {anonymous, private, "key-a", true},
	} {
		t.Run(name, func(t *testing.T) {
			f, n := newTestHandler()
			n.desired.Queues = []cell.Queue{c.queue}
			n.entries[id] = registry.Entry{Submission: &c.stored, Progress: cell.Progress{State: cell.Active}}
			for method, refusal := range map[string]int{"GET": http.StatusGone, "DELETE": http.StatusGone, "POST": http.StatusConflict} {
				want := http.StatusOK
				if !c.allowed {
					want = refusal
				}
				r := httptest.NewRequest(method, "http://h.example"+c.queue.PathPrefix+id, strings.NewReader(body))
				if c.key != "" {
					r.Header.Set("Authorization", "Token "+c.key)
				}
				w := httptest.NewRecorder()
				f.ServeHTTP(w, r)
				if w.Code != want {
					t.Errorf("%s gets %d, want %d: %s", method, w.Code, want, w.Body)
				}
			}
		})
	}
}
