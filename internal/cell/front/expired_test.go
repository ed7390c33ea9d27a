package front

import (
	"testing"

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
			f, n := newTestHandler()
			n.stores, n.entries[id] = c.stores, registry.Entry{Submission: summary, Progress: cell.Progress{State: cell.Active}}
			if w := callAs(f, "a", "GET", "/q/"+id); w.Code != c.status {
				t.Errorf("status %d, want %d: %s", w.Code, c.status, w.Body)
			}
		})
	}
}
