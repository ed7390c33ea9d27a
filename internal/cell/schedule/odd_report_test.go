package schedule

import (
	"math"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// Guards against a host whose report names tasks that no submission has, so that the
// owner's process ends at each report.
func TestReportOfTasksOutOfRange(t *testing.T) {
	s := New(Options{})
	sub := &cell.Submission{ID: "x", Occurrences: 2, Steps: []cell.Step{{Count: 1}, {Count: 1}, {Count: 1}, {Count: 1}}}
	s.Add(sub, cell.Progress{}, false, time.Second, time.Second)
	spec := cell.Host{ID: "h", Capacity: resource.Vector{MilliCPU: 1000, MemoryMiB: 1000}}
	s.SetHosts([]cell.Host{spec})
	s.SetListedHosts([]cell.Host{spec})
	odd := []int{math.MinInt, -1, 2, 4, math.MaxInt / 4, math.MaxInt/4 + 1, math.MaxInt/2 + 1, math.MaxInt - 3, math.MaxInt}
	var report cell.HostReport
	for _, n := range odd {
		for i, id := range []cell.TaskID{{Occurrence: n}, {Occurrence: n, Step: 3}, {Step: n}, {Index: n}} {
			if n == 2 && i == 2 {
				continue // step 2 exists
			}
			id.Submission = "x"
			report.Running = append(report.Running, cell.Running{Task: id, Run: 1})
			report.Ended = append(report.Ended, cell.Ended{Number: int64(len(report.Ended) + 1), Task: id, Run: 1, Outcome: cell.OutcomeDone})
			s.AssumeRunPresent("h", Run{Task: id, Run: 1}, time.Second)
		}
	}
	s.ApplyReport("h", time.Second, 2*time.Second, report)
	h := s.hosts["h"]
	if len(h.runs) != 0 || h.unknownRuns != len(report.Running) {
		t.Errorf("%d runs are attached, %d of %d are unknown", len(h.runs), h.unknownRuns, len(report.Running))
	}
	if left := s.jobs["x"].left; left != 8 {
		t.Errorf("%d tasks are left, want 8", left)
	}
}
