package owner

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// Guards against a done task that is started again: the successor is so slow that the leases of
// earlier owners have expired before it has polled all hosts, and a host that answers later
// lists the end, which no owner had stored.
func TestSlowSuccessorWaitsForHostsThatAnswer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHostTest(t)
		step := cell.Step{Count: 2, Size: resource.Vector{MilliCPU: 1000, MemoryMiB: 1024}, Estimate: time.Second}
		h.options.Stored = func() []registry.Entry {
			return []registry.Entry{{Submission: &cell.Submission{ID: "x", Queue: cell.Queue{Name: "q"}, Steps: []cell.Step{step}}}}
		}
		h.options.ClaimOffset = 10
		h.load()
		h.clock.now += time.Duration(rapid.Int64Range(0, 12_000).Draw(rt, "loading takes")) * time.Millisecond
		stored := map[string]registry.Host{"h": {Spec: testHost("h", "a")}, "other": {Spec: testHost("other", "b")}}
		h.list(stored, testHost("h", "a"), testHost("other", "b"))
		h.client.answers["b"] = hostAnswer{}
		done := cell.Ended{Number: 1, Task: cell.TaskID{Submission: "x"}, Run: 7, Outcome: cell.OutcomeDone}
		h.client.answers["a"] = hostAnswer{report: cell.HostReport{Ended: []cell.Ended{done}}}
		hosts := rapid.Permutation([]string{"other", "h"}).Draw(rt, "polls")
		hosts = slices.Insert(hosts, rapid.IntRange(0, 2).Draw(rt, "polls before"), "other")
		decide := func() {
			h.decideOnce()
			for _, address := range []string{"a", "b"} {
				for _, r := range h.client.answers[address].report.Running {
					if r.Task == done.Task {
						rt.Fatalf("the done task is started again, %s after the claim", h.clock.now-h.options.ClaimedAt)
					}
				}
			}
		}
		for _, id := range hosts {
			decide()
			h.clock.now += time.Duration(rapid.Int64Range(0, 3000).Draw(rt, "polling takes")) * time.Millisecond
			h.pollOnce(id)
		}
		decide()
		if !h.Reconciled() {
			rt.Error("all hosts have answered, and runs of earlier owners count as unknown")
		}
	})
}

// Guards against work that waits for good after a takeover, for a host that does not answer.
func TestSilentHostIsSettledByItsFailedPolls(t *testing.T) {
	h := newHostTest(t)
	h.list(map[string]registry.Host{"h": {Spec: testHost("h", "a")}}, testHost("h", "a"))
	h.client.answers["a"] = doesNotAnswer
	for range 20 {
		h.clock.now += 700 * time.Millisecond
		h.pollOnce("h")
		h.withState(h.checkReconciled)
	}
	if !h.Reconciled() {
		t.Error("a host that does not answer is waited for")
	}
}
