package node

import (
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/admission"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/cell/worklog"
	"github.com/medlarpulley/medlarpulley/platform"
)

// Guards against refusals on a summary whose age this node cannot bound on its own clock, or
// that was computed long ago although it was stored just now, and on one of a former owner.
func TestAgeOfASummaryIsBounded(t *testing.T) {
	n := newUnconnectedNode(t)
	n.admission = &admissionGate{node: n}
	owner := registry.Ownership{Node: "n2", InstanceID: "i", Token: 4}
	summary := admission.Summary{
		Token: 4, Backlogs: []admission.Backlog{{Team: "a", Queue: "q", Bounds: []int64{500}, Cores: []int64{60_000}}}, Teams: []admission.Room{{Name: "a"}},
	}
	q := admission.Request{ID: "x", Team: "a", Queue: "q", Work: time.Second, Latest: 5 * time.Second, Laxity: time.Second, Demand: admission.Amounts{1000, 0}}
	next, now := uint64(10), n.clock.Now()
	apply := func(newest bool, asOf time.Duration, records ...platform.Record) {
		for i := range records {
			records[i].Offset = next
			next++
		}
		n.applyWork(worklog.Page{Records: records, NewestOnly: newest, AsOf: asOf, Complete: true, End: next})
	}
	expect := func(what string, refused bool) {
		t.Helper()
		if r := n.admission.Decide(q); (r != nil) != refused {
			t.Errorf("%s: the refusal is %+v", what, r)
		}
	}
	mark := platform.Record{Key: "a/n2", Value: []byte("1")}
	summary.Applied = next // the owner has applied what came before
	apply(true, now-time.Second, registry.LoadRecord(summary), registry.OwnershipRecord(owner))
	expect("a summary among the newest records, of unknown age", false)
	apply(false, now-500*time.Millisecond, mark)
	summary.Applied = next
	apply(false, now-400*time.Millisecond, registry.LoadRecord(summary))
	expect("a summary that was computed after a read", true)
	summary.Applied = 0
	apply(false, now-300*time.Millisecond, registry.LoadRecord(summary))
	expect("a summary of an earlier version", false)
	summary.Applied = next + 5
	apply(false, now-200*time.Millisecond, registry.LoadRecord(summary))
	expect("a summary of records that follow it", false)
	summary.Applied = 12 // computed early, stored late
	apply(false, now-100*time.Millisecond, registry.LoadRecord(summary))
	expect("a summary that was computed before the reads that are remembered", false)
	summary.Applied = next
	apply(false, now, registry.LoadRecord(summary))
	expect("a recent summary", true)
	owner.Token = 6
	apply(false, now+50*time.Millisecond, registry.OwnershipRecord(owner))
	expect("a former owner's summary", false)
}

// Guards against an old summary that counts as new since it was stored just now: the owner
// computed it before records that this node read long ago.
func TestAgeIsThatOfTheComputation(t *testing.T) {
	n := newUnconnectedNode(t)
	n.admission = &admissionGate{node: n}
	now := n.clock.Now()
	for i, ago := range []time.Duration{5 * time.Second, 3 * time.Second, time.Second} {
		n.applyWork(worklog.Page{AsOf: now - ago, Complete: true, End: uint64(10 * (i + 1))})
	}
	for _, c := range []struct {
		applied uint64
		atLeast time.Duration
	}{{10, -1}, {15, 5 * time.Second}, {25, 3 * time.Second}, {31, time.Second}} {
		age := n.admission.age(registry.Load{Summary: admission.Summary{Applied: c.applied}, Offset: 40})
		if c.atLeast < 0 && age >= 0 || c.atLeast >= 0 && (age < c.atLeast || age > c.atLeast+900*time.Millisecond) {
			t.Errorf("the age of a summary of the records before %d is %s, want %s", c.applied, age, c.atLeast)
		}
	}
}
