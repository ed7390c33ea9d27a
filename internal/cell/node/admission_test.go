package node

import (
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/admission"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/cell/worklog"
	"github.com/medlarpulley/medlarpulley/platform"
)

// Guards against refusals on a summary whose age this node cannot bound on its own clock: one
// among the newest records, or one of a former owner that a later record makes current.
func TestAgeOfASummaryIsBounded(t *testing.T) {
	n := newUnconnectedNode(t)
	if n.admission == nil {
		n.admission = &admissionGate{node: n}
	}
	at := func(offset uint64, r platform.Record) platform.Record { r.Offset = offset; return r }
	owner := registry.Ownership{Node: "n2", InstanceID: "i", Token: 4}
	summary := admission.Summary{Token: 4, Backlogs: []admission.Backlog{{Team: "a", Queue: "q", OwnMs: 60_000}}}
	q := admission.Request{ID: "x", Team: "a", Queue: "q", Work: time.Second, Latest: 5 * time.Second}
	now := n.clock.Now()
	apply := func(p worklog.Page, asOf time.Duration, known bool) {
		n.applyWork(p)
		n.admission.observe(asOf, known)
	}
	apply(worklog.Page{NewestOnly: true, Records: []platform.Record{at(1, registry.LoadRecord(summary)), at(2, registry.OwnershipRecord(owner))}}, now, false)
	if r := n.admission.Decide(q); r != nil {
		t.Errorf("a summary of unknown age refuses: %+v", r)
	}
	n.registry.Apply(at(3, registry.LoadRecord(summary)))
	n.admission.observe(now, true)
	if r := n.admission.Decide(q); r == nil || !r.Own {
		t.Errorf("a recent summary gives %+v", r)
	}
	n.registry.Apply(at(4, registry.LoadRecord(summary)))
	n.admission.observe(now-admission.MaxSummaryAge, true)
	if r := n.admission.Decide(q); r != nil {
		t.Errorf("an old summary refuses: %+v", r)
	}
	summary.Token, owner.Token = 5, 5
	n.registry.Apply(at(5, registry.LoadRecord(summary))) // before the claim of its owner is read
	n.admission.observe(now-admission.MaxSummaryAge, true)
	n.registry.Apply(at(6, registry.OwnershipRecord(owner)))
	n.admission.observe(now, true)
	if r := n.admission.Decide(q); r != nil {
		t.Errorf("an old summary of a new owner refuses: %+v", r)
	}
	owner.Token = 6
	n.registry.Apply(at(7, registry.OwnershipRecord(owner)))
	if r := n.admission.Decide(q); r != nil {
		t.Errorf("a former owner's summary refuses: %+v", r)
	}
}
