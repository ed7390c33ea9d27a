package node

import (
	"slices"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/cell/worklog"
	"github.com/medlarpulley/medlarpulley/platform"
)

// submittedIDs is a listener that records the submissions which an owner is told of.
type submittedIDs []string

func (l *submittedIDs) Submitted(e registry.Entry) { *l = append(*l, e.Submission.ID) }

func (l *submittedIDs) CancelRequested(string) {}

// recordAt returns a record at an offset.
func recordAt(offset uint64, r platform.Record) platform.Record {
	r.Offset = offset
	return r
}

func oneTask(id string) *cell.Submission {
	return &cell.Submission{ID: id, Team: "a", Queue: cell.Queue{Name: "q"}, Steps: []cell.Step{{Count: 1, Estimate: time.Second}}}
}

// claimAs lets the node have claimed with a token, and returns the ownership.
func claimAs(n *Node, token int64) registry.Ownership {
	o := registry.Ownership{Node: "n1", InstanceID: n.self.InstanceID, Token: token, FirstSequence: 7}
	n.claim = &claim{owner: o, journal: worklog.NewJournal(n.workTarget("election", ownerAppender), token, 7, func() {}), sentAt: n.clock.Now()}
	return o
}

// endTermOf ends the term of a node, if it has one, and waits for its goroutines.
func endTermOf(n *Node) {
	n.mu.Lock()
	if n.term != nil {
		n.endTerm("the test is over")
	}
	n.mu.Unlock()
	n.termGoroutines.Wait()
}

// Guards against a task that runs twice: an owner that is behind reads the newest records, in
// the order of keys. It learned of a submission after its successor's claim, which the
// successor starts at once, before it learned of the claim.
func TestFormerOwnerLearnsOfItsSuccessorFirst(t *testing.T) {
	n := newUnconnectedNode(t)
	defer endTermOf(n)
	n.applyWork(worklog.Page{Records: []platform.Record{recordAt(1, registry.OwnershipRecord(claimAs(n, 2)))}})
	if n.owner() == nil {
		t.Fatal("the claim began no term")
	}
	var learned submittedIDs
	n.registry.SetListener(&learned)
	next := registry.Ownership{Node: "n2", InstanceID: "b", Token: 3, FirstSequence: 9}
	n.applyWork(worklog.Page{NewestOnly: true, End: 7, Records: []platform.Record{
		recordAt(6, registry.SubmissionRecord(oneTask("5c0e7a21d94b36f8"))), recordAt(5, registry.OwnershipRecord(next)),
	}})
	if len(learned) > 0 {
		t.Errorf("the former owner learned of %v, submitted after the claim of its successor", learned)
	}
	if n.owner() != nil {
		t.Error("the former owner's term goes on")
	}
}

// Guards against a task that runs twice: the newest records are read in parts, and the record
// of the ownership before a successor's claim is stored. The owner learned of a submission that
// was stored after that claim, and read with a later part, before it learned of the claim.
func TestOwnerLearnsOfNoSubmissionAheadOfAClaim(t *testing.T) {
	const id = "5c0e7a21d94b36f8"
	submitted := recordAt(9, registry.SubmissionRecord(oneTask(id)))
	next := recordAt(8, registry.OwnershipRecord(registry.Ownership{Node: "n2", InstanceID: "b", Token: 3, FirstSequence: 9}))
	for _, c := range []struct {
		name    string
		follows []platform.Record // what is read in order after the newest records
		learned submittedIDs
	}{
		{"a successor has claimed", []platform.Record{next, submitted}, nil},
		{"no successor has claimed", []platform.Record{submitted}, submittedIDs{id}},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newUnconnectedNode(t)
			defer endTermOf(n)
			own := recordAt(1, registry.OwnershipRecord(claimAs(n, 2)))
			n.applyWork(worklog.Page{Records: []platform.Record{own}})
			if n.owner() == nil {
				t.Fatal("the claim began no term")
			}
			var learned submittedIDs
			n.registry.SetListener(&learned)
			n.applyWork(worklog.Page{NewestOnly: true, End: 5, Records: []platform.Record{own, submitted}})
			if len(learned) > 0 || len(n.registry.All()) > 0 {
				t.Errorf("the owner learned of %v, and would load %d submissions, before all earlier records were read", learned, len(n.registry.All()))
			}
			if _, found := n.Find(id); !found {
				t.Error("callers do not find the submission")
			}
			n.applyWork(worklog.Page{Records: c.follows})
			if !slices.Equal(learned, c.learned) {
				t.Errorf("the owner learned of %v, want %v", learned, c.learned)
			}
		})
	}
}

// Guards against a task that runs twice: a claim is read among the newest records, of which
// those of hosts were read before the former owner had opened another host and then was
// fenced. The successor took that host for one without runs.
func TestClaimAmongNewestRecordsWaitsForEarlierRecords(t *testing.T) {
	n := newUnconnectedNode(t)
	defer endTermOf(n)
	opened := registry.Host{Spec: cell.Host{ID: "opened", Address: "10.0.0.1:1"}}
	former := registry.Ownership{Node: "n2", InstanceID: "b", Token: 1, FirstSequence: 3, HeartbeatNumber: 4}
	claimed := claimAs(n, 2)
	// The read began at offset 5. The host was opened at 6, after its key had been read.
	n.applyWork(worklog.Page{NewestOnly: true, End: 5, Records: []platform.Record{recordAt(8, registry.OwnershipRecord(claimed))}})
	for _, r := range []platform.Record{
		recordAt(5, registry.OwnershipRecord(former)), recordAt(6, registry.HostRecord(opened)), recordAt(7, registry.OwnershipRecord(former)),
	} {
		n.applyWork(worklog.Page{Records: []platform.Record{r}})
		if n.owner() != nil {
			t.Fatalf("the term begins at offset %d, before the claim", r.Offset)
		}
	}
	n.applyWork(worklog.Page{Records: []platform.Record{recordAt(8, registry.OwnershipRecord(claimed))}})
	if n.owner() == nil {
		t.Fatal("the claim began no term")
	}
	n.mu.Lock()
	hosts := n.term.storedHosts
	n.mu.Unlock()
	if _, known := hosts[opened.Spec.ID]; !known {
		t.Errorf("the successor knows the hosts %v, want the one that was opened before the claim", hosts)
	}
}

// Guards against a task that runs twice: the term began without a submission that was read ahead of
// its place in the log, so that the end of its run, or the run itself, was unknown and forgotten.
func TestTermBeginsOnceSubmissionsReadAheadAreRead(t *testing.T) {
	n := newUnconnectedNode(t)
	defer endTermOf(n)
	own, repeated := recordAt(8, registry.OwnershipRecord(claimAs(n, 2))), recordAt(9, registry.SubmissionRecord(oneTask("5c0e7a21d94b36f8")))
	n.applyWork(worklog.Page{NewestOnly: true, End: 9, Records: []platform.Record{own, repeated}})
	if n.owner() != nil {
		t.Errorf("the term begins with %d submissions, without one that may precede the claim", len(n.registry.All()))
	}
	n.applyWork(worklog.Page{Records: []platform.Record{repeated}})
	if n.owner() == nil || len(n.registry.All()) != 1 {
		t.Errorf("no term, or without the submission: %d submissions", len(n.registry.All()))
	}
}
