package node

import (
	"context"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/cell/worklog"
	"github.com/medlarpulley/medlarpulley/platform"
)

// Guards against runs that a later owner does not know: a host whose record could not be
// stored was used from the next reading of the host list on.
func TestHostIsNotUsedBeforeItsRecordIsStored(t *testing.T) {
	n := newUnconnectedNode(t)
	c := &claim{
		owner:   registry.Ownership{Node: "n1", InstanceID: n.self.InstanceID, Token: 1},
		journal: worklog.NewJournal(n.workTarget("test", ownerAppender), 1, 1, func() {}), sentAt: n.clock.Now(),
	}
	n.mu.Lock()
	n.beginTerm(c, 0)
	term := n.term
	n.mu.Unlock()
	t.Cleanup(func() {
		term.cancel()
		n.termGoroutines.Wait()
	})
	entry := `{"service":"s","address":"127.0.0.1:1","zone":"z","state":"ready","capacity":{"cpu":16000,"memMb":65536,"gpu":0},"seq":1}`
	page := worklog.Page{Records: []platform.Record{{Key: "h1", Value: []byte(entry)}}}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	n.applyHosts(ctx, term, page) // the store does not answer
	n.applyHosts(t.Context(), term, page)
	for _, h := range term.owner.Dump().Cell.Hosts {
		if !h.Closed {
			t.Errorf("%s is open to new runs although the log has no record of it", h.ID)
		}
	}
}
