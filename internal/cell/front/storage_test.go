package front

import (
	"testing"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
)

// Guards against submissions that are accepted until the processes exceed their memory, one
// after the other; against one team that keeps all others from submitting; and against a
// refusal of what is stored.
func TestSubmissionsBeyondTheStorageAreRefused(t *testing.T) {
	const most = maxTestStorage
	for name, c := range map[string]struct {
		total, ofTeam int64
		stored        bool
		catchUp       error
		status        int
	}{
		"little is stored":                          {total: 1000, ofTeam: 1000, status: 200},
		"the team has as much as is left":           {total: 500_000, ofTeam: 500_000, status: 503},
		"others have nearly all, the team nothing":  {total: 990_000, ofTeam: 0, status: 200},
		"all is taken":                              {total: most, ofTeam: 0, status: 503},
		"all is taken, and the submission is known": {total: most, ofTeam: 0, stored: true, status: 200},
		"all is taken, and the store is silent":     {total: most, ofTeam: 0, catchUp: mayHaveRunError(), status: 504},
	} {
		t.Run(name, func(t *testing.T) {
			f, n := newTestHandler()
			n.catchUp, n.storage, n.ofTeam = c.catchUp, c.total, c.ofTeam
			if c.stored {
				n.stores = map[string]registry.Entry{id: {Submission: &cell.Submission{ID: id, Team: "a"}}}
			}
			w := post(f)
			if w.Code != c.status || len(n.stored) > 0 != (c.status == 200 && !c.stored) {
				t.Errorf("status %d, stored %v; want %d", w.Code, n.stored, c.status)
			}
			if c.status == 503 && w.Header().Get("Retry-After") == "" {
				t.Error("the refusal does not say when to come back")
			}
		})
	}
}
