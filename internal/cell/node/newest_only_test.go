package node

import (
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/membership"
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
	n.applyWork(worklog.Page{NewestOnly: true, End: 10, Records: []platform.Record{
		at(9, registry.OwnershipRecord(claimed)),
		at(5, registry.ProgressRecord(sub.ID, cell.Progress{State: cell.Completed})),
		at(1, registry.SubmissionRecord(sub)),
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

// Guards against finished work that runs again: a node that was cut off from the store until
// the records of a submission had been deleted takes the cell over, with what it had read.
func TestOwnerAfterAGapHasNoDeletedWork(t *testing.T) {
	n := newUnconnectedNode(t)
	at := func(offset uint64, r platform.Record) platform.Record { r.Offset = offset; return r }
	deleted := &cell.Submission{ID: "5c0e7a21d94b36f8", Team: "a", Queue: cell.Queue{Name: "q"}, Steps: []cell.Step{{Count: 1, Estimate: time.Second}}}
	left := &cell.Submission{ID: "5c0e7a21d94b36f9", Team: "a", Queue: cell.Queue{Name: "q"}, Steps: []cell.Step{{Count: 1, Estimate: time.Second}}}
	host := cell.Host{ID: "h", Address: "10.0.0.1:1"}
	n.applyWork(worklog.Page{Records: []platform.Record{
		at(1, registry.SubmissionRecord(deleted)), at(2, registry.SubmissionRecord(left)), at(3, registry.HostRecord(registry.Host{Spec: host})),
	}})

	claimed := registry.Ownership{Node: "n1", InstanceID: n.self.InstanceID, Token: 2, FirstSequence: 7}
	n.claim = &claim{owner: claimed, journal: worklog.NewJournal(n.workTarget("election", ownerAppender), 2, 7, func() {})}
	n.applyWork(worklog.Page{NewestOnly: true, End: 10, Records: []platform.Record{at(9, registry.OwnershipRecord(claimed)), at(2, registry.SubmissionRecord(left))}})
	o := n.owner()
	if o == nil {
		t.Fatal("the claim began no term")
	}
	if !o.WaitLoaded(t.Context()) {
		t.Fatal("the stored submissions were not taken over")
	}
	if got := o.Explain(deleted.ID); len(got) != 0 {
		t.Errorf("the new owner has work that was deleted: %q", got)
	}
	if got := o.Explain(left.ID); len(got) == 0 {
		t.Error("the new owner lacks work that is stored")
	}
	isQ := func(q *cell.Queue) bool { return q.Name == "q" }
	if _, found := n.Find(deleted.ID); found || n.Pending(isQ) != 1 || len(n.registry.Hosts()) != 0 {
		t.Errorf("found: %t, pending: %d, hosts: %v; want what is stored", found, n.Pending(isQ), n.registry.Hosts())
	}
	n.mu.Lock()
	n.endTerm("the test is over")
	n.mu.Unlock()
	n.termGoroutines.Wait()
}

// Guards against a node that takes others for alive whose records were removed while it did
// not read the topic.
func TestNodesAreForgottenAfterAGap(t *testing.T) {
	n := newUnconnectedNode(t)
	other := func(name string) platform.Record {
		return membership.Record(membership.Node{Name: name, InstanceID: "b", Address: "10.0.0.1:7420"})
	}
	n.applyNodes(worklog.Page{Records: []platform.Record{other("n2"), other("n3")}, AsOf: n.clock.Now()})
	n.applyNodes(worklog.Page{NewestOnly: true, Records: []platform.Record{other("n3")}, AsOf: n.clock.Now()})
	if got := n.members.Nodes(); len(got) != 1 || got["n3"].Name != "n3" {
		t.Errorf("nodes %v, want n3", got)
	}
}
