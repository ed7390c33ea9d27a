package schedule

import (
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// Guards against a step that does not become ready when the steps before it are done, in
// one of several occurrences.
func TestStepsOfAnOccurrenceBecomeReadyAlone(t *testing.T) {
	s := New(Options{})
	sub := &cell.Submission{ID: "x", Occurrences: 3, Steps: []cell.Step{{Count: 1}, {Count: 1, After: []int{0}}, {Count: 1, After: []int{0, 1}}}}
	s.Add(sub, cell.Progress{}, false, time.Second, time.Second)
	spec := cell.Host{ID: "h"}
	s.SetHosts([]cell.Host{spec})
	done := func(number int64, occurrence, step int) {
		s.ApplyReport("h", time.Second, time.Second, cell.HostReport{Ended: []cell.Ended{
			{Number: number, Task: cell.TaskID{Submission: "x", Occurrence: occurrence, Step: step}, Run: 1, Outcome: cell.OutcomeDone},
		}})
	}
	ready := func() (out string) {
		for _, g := range s.jobs["x"].groups {
			switch {
			case g.left == 0:
				out += "d"
			case g.ready:
				out += "r"
			default:
				out += "-"
			}
		}
		return out
	}
	for i, c := range []struct {
		occurrence, step int
		want             string
	}{{1, 0, "r--dr-r--"}, {1, 1, "r--ddrr--"}, {2, 0, "r--ddrdr-"}, {1, 2, "r--ddddr-"}, {0, 0, "dr-ddddr-"}} {
		done(int64(i+1), c.occurrence, c.step)
		if got := ready(); got != c.want {
			t.Errorf("after step %d of occurrence %d: %s, want %s", c.step, c.occurrence, got, c.want)
		}
	}
}

// BenchmarkEndsOfManyOccurrences measures one report with the ends of 500 occurrences.
func BenchmarkEndsOfManyOccurrences(b *testing.B) {
	for range b.N {
		b.StopTimer()
		s := New(Options{})
		s.Add(&cell.Submission{ID: "x", Occurrences: cell.MaxTasks, Steps: []cell.Step{{Count: 1}}}, cell.Progress{}, false, time.Second, time.Second)
		s.SetHosts([]cell.Host{{ID: "h"}})
		var report cell.HostReport
		for i := range 500 {
			report.Ended = append(report.Ended, cell.Ended{Number: int64(i + 1), Task: cell.TaskID{Submission: "x", Occurrence: i}, Run: 1, Outcome: cell.OutcomeDone})
		}
		b.StartTimer()
		s.ApplyReport("h", time.Second, time.Second, report)
	}
}

// examinedGroups returns how many groups the second decision examines to judge a submission
// as a whole, while so many occurrences of it wait that fit on no host.
func examinedGroups(occurrences int, prepare func(c *cluster, j *job)) int {
	c := newCluster(50, resource.Vector{MilliCPU: 1000, MemoryMiB: 16_000})
	c.queue(cell.Queue{Name: "q", Stretch: 2, Latency: time.Second})
	sub := &cell.Submission{ID: "x", Team: "a", Queue: c.queues["q"], Steps: []cell.Step{smallStep(1, time.Second)}, Occurrences: occurrences}
	c.s.Add(sub, cell.Progress{}, false, c.now, c.now)
	for range 2 {
		prepare(c, c.s.jobs["x"])
		c.now += 10 * time.Millisecond
		c.s.Decide(c.now, c.now)
	}
	return c.s.work.groups
}

// Guards against one submission of many occurrences, suspected, of a queue whose tasks have
// crashed hosts, or in a cell that is mostly idle, with which each decision of each owner
// takes seconds.
func TestCostOfOccurrencesIsNotQuadratic(t *testing.T) {
	const few, factor = 500, 16
	risk := func(crashes float64) func(c *cluster, j *job) {
		return func(c *cluster, j *job) { c.s.risk(j).Starts, c.s.risk(j).Crashes = 100, crashes }
	}
	for name, prepare := range map[string]func(c *cluster, j *job){
		"suspected":           func(_ *cluster, j *job) { j.suspected = true },
		"of a risky queue":    risk(10),
		"of a confined queue": risk(30),
		"in an idle cell":     func(c *cluster, _ *job) { c.now += quietPeriod + longestReservedWait },
	} {
		short, long := examinedGroups(few, prepare), examinedGroups(few*factor, prepare)
		if limit := short * factor; short == 0 || long > limit || long > 4*few*factor {
			t.Errorf("%s: a decision examines %d groups with %d occurrences and %d with %d, want at most %d", name, short, few, long, few*factor, limit)
		}
	}
}
