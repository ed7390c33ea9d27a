package node

import (
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/cell/worklog"
	"github.com/medlarpulley/medlarpulley/platform"
)

// Guards against a new owner that runs completed work again. When only the newest
// record of each key is read, the records come in the order of their keys, so the
// claim comes before the progress that an earlier owner had stored; the term must
// begin after all of them.
func TestClaimInNewestRecordsSeesAllProgress(t *testing.T) {
	n := newUnconnectedNode(t)
	at := func(offset uint64, r platform.Record) platform.Record { r.Offset = offset; return r }
	sub := &cell.Submission{ID: "5c0e7a21d94b36f8", Team: "a", Queue: cell.Queue{Name: "q"}, Steps: []cell.Step{{Count: 1, Estimate: time.Second}}}
	n.applyWork(worklog.Page{Records: []platform.Record{at(1, registry.SubmissionRecord(sub))}})

	claimed := registry.Ownership{Node: "n1", InstanceID: n.self.InstanceID, Token: 2, FirstSequence: 7}
	n.claim = &claim{owner: claimed, journal: worklog.NewJournal(n.workTarget("election", ownerAppender), 2, 7, func() {})}
	n.applyWork(worklog.Page{NewestOnly: true, Records: []platform.Record{
		at(9, registry.OwnershipRecord(claimed)),
		at(5, registry.ProgressRecord(sub.ID, cell.Progress{State: cell.Completed})),
	}})
	o := n.owner()
	if o == nil {
		t.Fatal("the claim began no term")
	}
	if got := o.Explain(sub.ID); len(got) != 0 {
		t.Errorf("the new owner has work of a completed submission: %q", got)
	}
	n.mu.Lock()
	n.endTerm("the test is over")
	n.mu.Unlock()
	n.termGoroutines.Wait()
}
