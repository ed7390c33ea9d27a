package owner

import (
	"fmt"
	"log/slog"
	"testing"

	"pgregory.net/rapid"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
)

// Guards against a task that is started again after it has ended as done: its host was closed
// in the log without the run, by an append of a round, and the owner was fenced before the
// append with the progress. The successor does not wait for the report of a closed host.
func TestEachPartOfARoundNamesAllRunsThatMayBePresent(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHostTest(t)
		h.list(nil, testHost("h", "a"))
		h.client.answers["a"] = hostAnswer{}
		h.pollOnce("h")
		h.storeHosts()
		tasks := rapid.IntRange(1, 8).Draw(rt, "tasks")
		for i := range tasks {
			h.submit(fmt.Sprintf("s%d", i))
		}
		if started := h.decideOnce(); len(started) != tasks {
			rt.Fatalf("%d of %d tasks were started", len(started), tasks)
		}
		h.pollOnce("h")
		a := h.client.answers["a"]
		ended := rapid.IntRange(0, tasks).Draw(rt, "ended")
		for i, r := range a.report.Running[:ended] {
			a.report.Ended = append(a.report.Ended, cell.Ended{Number: int64(i + 1), Task: r.Task, Run: r.Run, Outcome: cell.OutcomeDone})
		}
		a.report.Running = a.report.Running[ended:]
		h.client.answers["a"] = a
		h.clock.now++
		h.pollOnce("h")
		leaving := testHost("h", "a")
		leaving.Leaving = true
		h.list(nil, leaving)

		records, _, _ := h.changedRecords()
		stored := rapid.IntRange(0, len(records)).Draw(rt, "stored records of the round")
		log := registry.New(slog.New(slog.DiscardHandler))
		log.Apply(registry.HostRecord(h.log.Hosts()["h"]))
		for i, r := range records[:stored] {
			r.Offset = uint64(i + 1)
			log.Apply(r)
		}
		host := log.Hosts()["h"]
		if !host.Closed {
			return // the successor waits for the host
		}
		done := make(map[string]bool)
		for i := range tasks {
			id := fmt.Sprintf("s%d", i)
			log.Apply(registry.SubmissionRecord(&cell.Submission{ID: id, Queue: cell.Queue{Name: "q"}, Steps: []cell.Step{{Count: 1}}}))
			e, _ := log.Find(id)
			done[id] = e.Progress.State == cell.Completed
		}
		for _, r := range host.Runs {
			done[r.Task.Submission] = true
		}
		for id, known := range done {
			if !known {
				rt.Fatalf("after %d of %d records a successor takes the task of %s for one that is neither done nor present", stored, len(records), id)
			}
		}
	})
}
