package schedule

import (
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// Guards against a submission that counts as late, or as due now, since the sum of its
// estimates or its objective overflows.
func TestObjectiveDoesNotOverflow(t *testing.T) {
	const now = time.Minute
	for _, q := range []cell.Queue{
		{Name: "q", Stretch: 1, Latency: time.Second},
		{Name: "q", Stretch: 1e308, Latency: cell.MaxDuration},
		{Name: "q", Stretch: 4, Latency: cell.MaxDuration, Advice: &cell.AdvicePolicy{Decision: cell.MaxDuration, PerHost: cell.MaxDuration}},
	} {
		sub := &cell.Submission{ID: "x", Queue: q}
		for i := range 1000 {
			step := cell.Step{Count: 1, Estimate: cell.MaxDuration}
			if i > 0 {
				step.After = []int{i - 1}
			}
			sub.Steps = append(sub.Steps, step)
		}
		s := New(Options{})
		s.Add(sub, cell.Progress{}, false, now, now)
		j := s.jobs["x"]
		if j.due < now || j.due > now+2*cell.MaxDuration || j.criticalPath(0) > cell.MaxDuration || j.criticalPath(0) < 0 {
			t.Errorf("stretch %g: due %v, critical path %v", q.Stretch, j.due, j.criticalPath(0))
		}
		s.Decide(now, now)
	}
	if math.MaxInt64-3*2*cell.MaxDuration < 0 {
		t.Error("tooLateFactor times the objective overflows")
	}
}

// Guards against a team that may exceed its limit after a takeover, since the sum of the
// largest amounts that entries and submissions may have overflows.
func TestSumsOfLargestAmountsDoNotOverflow(t *testing.T) {
	largest := resource.Vector{MilliCPU: cell.MaxAmount, MemoryMiB: cell.MaxAmount, Accelerators: cell.MaxAmount}
	limit := largest.Scale(3)
	s := New(Options{})
	s.SetDesired(&cell.Desired{Teams: map[string]cell.Team{"t": {Name: "t", Limit: limit}}})
	var hosts []cell.Host
	for i := range 1000 {
		hosts = append(hosts, cell.Host{ID: strconv.Itoa(i), Capacity: largest})
	}
	s.SetHosts(hosts)
	s.SetListedHosts(hosts)
	for i := range 20 {
		sub := &cell.Submission{ID: strconv.Itoa(i), Team: "t", Steps: []cell.Step{
			{Count: cell.MaxTasks / 20, Size: largest}, {Count: cell.MaxTasks / 20, Size: largest, BestEffort: true},
		}}
		s.Add(sub, cell.Progress{}, true, time.Second, time.Second)
	}
	s.updateUnknownUsage()
	if silent, _ := s.silentCapacity(); silent != largest.Scale(1000) {
		t.Errorf("silent capacity %v", silent)
	}
	if n := s.teams["t"].tasksUnderLimit(largest, true); n != 0 {
		t.Errorf("%d tasks of unknown hosts are under the limit, unknown usage %v", n, s.teams["t"].unknownUsage)
	}
}
