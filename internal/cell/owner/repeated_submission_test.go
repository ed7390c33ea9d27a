package owner

import (
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/platform"
)

// repeatedTest is the test of a successor that has read a submission of one task.
type repeatedTest struct{ *hostTest }

const repeatedClaimOffset = 8

func newRepeatedTest(t *testing.T) repeatedTest {
	h := newHostTest(t)
	h.options.ClaimOffset = repeatedClaimOffset
	h.options.Stored = h.log.All
	return repeatedTest{h}
}

// records returns the claim and, after it, the record of the submission.
func (h repeatedTest) records() []platform.Record {
	sub := &cell.Submission{ID: "x", Team: "t", Queue: cell.Queue{Name: "q"}, Steps: []cell.Step{{
		Count: 1, Size: resource.Vector{MilliCPU: 1000, MemoryMiB: 1024}, Estimate: time.Second,
	}}}
	claim := registry.OwnershipRecord(registry.Ownership{Node: "n", InstanceID: "b", Token: 2})
	submission := registry.SubmissionRecord(sub)
	claim.Offset, submission.Offset = repeatedClaimOffset, repeatedClaimOffset+1
	return []platform.Record{claim, submission}
}

// begin begins the term, with two hosts of which one has answered. The other one lists that the
// task is done.
func (h repeatedTest) begin() {
	h.load()
	h.list(map[string]registry.Host{"h": {Spec: testHost("h", "a")}, "other": {Spec: testHost("other", "b")}}, testHost("h", "a"), testHost("other", "b"))
	done := cell.Ended{Number: 1, Task: cell.TaskID{Submission: "x"}, Run: 7, Outcome: cell.OutcomeDone}
	h.client.answers["a"] = hostAnswer{report: cell.HostReport{Ended: []cell.Ended{done}}}
	h.pollOnce("other")
}

// Guards against a done task that is started again: its submission is stored twice, before and
// after the claim, and the new owner's process reads it first among newest records, which hold
// only the later record. No owner has stored the end, which a host lists that has not answered
// yet.
func TestRepeatedSubmissionAmongNewestRecordsWaitsForEarlierRuns(t *testing.T) {
	h := newRepeatedTest(t)
	newest := h.records()
	h.log.BeginNewest(newest)
	for _, r := range newest {
		h.log.ApplyNewest(r, repeatedClaimOffset+2)
	}
	h.begin()
	if got := h.decideOnce(); len(got) > 0 {
		t.Errorf("the done task is started again at %v, before host a has answered", got)
	}
	h.pollOnce("h")
	if got := h.decideOnce(); len(got) > 0 {
		t.Errorf("the done task is started again at %v", got)
	}
}

// Guards against new work that waits after each takeover until all hosts have answered.
func TestSubmissionAfterTheClaimStartsAtOnce(t *testing.T) {
	h := newRepeatedTest(t)
	for _, r := range h.records() {
		h.log.Apply(r)
	}
	h.begin()
	if got := h.decideOnce(); len(got) != 1 {
		t.Errorf("starts at %v, want one", got)
	}
}
