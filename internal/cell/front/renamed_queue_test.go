package front

import (
	"net/http"
	"testing"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
)

// Guards against a 410 for accepted work that goes on running, since a later desired state names
// its queue otherwise, or has another queue at the path that the caller knows.
func TestSubmissionIsFoundAfterItsQueueHasChanged(t *testing.T) {
	accepted := cell.Queue{Name: "q", Host: "h.example", PathPrefix: "/q/"}
	for name, c := range map[string]struct {
		queues []cell.Queue
		path   string
	}{
		"the queue has another name": {[]cell.Queue{{Name: "renamed", Host: "h.example", PathPrefix: "/q/"}}, "/q/"},
		"two queues have swapped their names": {[]cell.Queue{
			{Name: "other", Host: "h.example", PathPrefix: "/q/"}, {Name: "q", Host: "h.example", PathPrefix: "/other/"},
		}, "/q/"},
		"the queue has another path, and a new one has its path": {[]cell.Queue{
			{Name: "new", Host: "h.example", PathPrefix: "/q/"}, {Name: "q", Host: "h.example", PathPrefix: "/moved/"},
		}, "/q/"},
		"the caller uses the other path":                          {[]cell.Queue{{Name: "q", Host: "h.example", PathPrefix: "/moved/"}}, "/moved/"},
		"the queue was removed and comes back under another name": {[]cell.Queue{{Name: "back", Host: "h.example", PathPrefix: "/q/"}}, "/q/"},
	} {
		t.Run(name, func(t *testing.T) {
			f, n := newTestHandler()
			n.entries[id] = registry.Entry{
				Submission: &cell.Submission{ID: id, Team: "a", Queue: accepted.Snapshot()}, Progress: cell.Progress{State: cell.Active},
			}
			n.desired.Queues = c.queues
			if w := callAs(f, "a", "GET", c.path+id); w.Code != http.StatusOK || w.Body.String() != `{"state":"running"}` {
				t.Errorf("GET: status %d: %s", w.Code, w.Body)
			}
			if w := callAs(f, "b", "GET", c.path+id); w.Code != http.StatusGone {
				t.Errorf("GET by another team: status %d: %s", w.Code, w.Body)
			}
			if w := callAs(f, "b", "DELETE", c.path+id); w.Code != http.StatusGone || len(n.stored) > 0 {
				t.Errorf("DELETE by another team: status %d, stored %v", w.Code, n.stored)
			}
			if w := callAs(f, "a", "DELETE", c.path+id); w.Code != http.StatusOK || len(n.stored) != 1 || n.stored[0] != "c/"+id {
				t.Errorf("DELETE: status %d, stored %v: %s", w.Code, n.stored, w.Body)
			}
		})
	}
}

// Guards against a queue that shows no waiting work after it was renamed, and against one that
// counts the work of another queue.
func TestPendingCountsWorkOfARenamedQueue(t *testing.T) {
	f, n := newTestHandler()
	at := func(name, prefix string) cell.Queue {
		return cell.Queue{Name: name, Host: "h.example", PathPrefix: prefix}
	}
	former := at("q", "/q/")
	n.pending = []cell.Queue{former.Snapshot(), {Name: "q"}, at("moved", "/q/")} // the second is of an earlier version
	for name, c := range map[string]struct {
		queues []cell.Queue
		want   map[string]string
	}{
		"unchanged": {[]cell.Queue{former}, map[string]string{"/q/": `{"pending":3}`}},
		"renamed":   {[]cell.Queue{at("renamed", "/q/")}, map[string]string{"/q/": `{"pending":2}`}},
		"moved, and another has its path": {
			[]cell.Queue{at("new", "/q/"), at("moved", "/moved/")}, map[string]string{"/q/": `{"pending":1}`, "/moved/": `{"pending":1}`},
		},
	} {
		n.desired.Queues = c.queues
		for path, want := range c.want {
			if w := callAs(f, "a", "GET", path); w.Body.String() != want {
				t.Errorf("%s: GET %s: %s, want %s", name, path, w.Body, want)
			}
		}
	}
}
