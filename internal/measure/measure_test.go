package measure

import (
	"math"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/gateway"
	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/scheduler"
	standin "github.com/medlarpulley/medlarpulley/internal/standin/worker"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// twoTeamJournal returns the jobs and executions of a fleet with two cores. Team a
// uses one core all the time. One task of team b uses the other core from second 1
// on, in two attempts; the second task of team b never starts.
func twoTeamJournal() (map[work.JobID]*submittedJob, []standin.Execution) {
	job := func(team string, tasks int32) *submittedJob {
		return &submittedJob{spec: gateway.JobSpec{Team: team, Tasks: tasks}, accepted: true}
	}
	run := func(job string, index int32, attempt int32, start, end time.Duration) standin.Execution {
		id := work.AttemptID{Task: work.TaskID{Job: work.JobID(job), Index: index}, Attempt: attempt}
		return standin.Execution{Attempt: id, Size: resource.Vector{MilliCPU: 1000}, Start: start, End: end, Ended: end > 0}
	}
	return map[work.JobID]*submittedJob{"a": job("a", 1), "b": job("b", 2)},
		[]standin.Execution{run("a", 0, 1, 0, 0), run("b", 0, 1, time.Second, 1500*time.Millisecond), run("b", 0, 2, 1500*time.Millisecond, 0)}
}

func twoProcessors(time.Duration) resource.Vector { return resource.Vector{MilliCPU: 2000} }

// Guards against a second attempt of a task that is counted as another waiting
// time, and against tasks that are left out because they never started.
func TestWaitingTimes(t *testing.T) {
	jobs, executions := twoTeamJournal()
	for _, w := range waitingTimes(jobs, executions) {
		if w.Team == "b" && (w.Started != 1 || w.Waiting != 1 || w.P50 != 1000) {
			t.Errorf("team b: %+v", w)
		}
	}
}

// Guards against the use of a task that is counted before its start or after its
// end.
func TestPacking(t *testing.T) {
	jobs, executions := twoTeamJournal()
	p := packing(samplesOf(jobs, executions, 0, 2*time.Second), twoProcessors)
	if p.Samples != 20 || math.Abs(p.Percent-75) > 0.01 || p.Resource != "milli_cpu" {
		t.Errorf("packing: %+v", p)
	}
}

// Guards against an entitlement that ignores the weights or the demand of teams.
func TestShares(t *testing.T) {
	jobs, executions := twoTeamJournal()
	tb := &testbed{contract: scheduler.Contract{
		Teams:  map[string]scheduler.Team{"a": {Weight: 1, Limit: "all"}, "b": {Weight: 3, Limit: "all"}},
		Limits: map[string]scheduler.Limit{"all": {Units: 2, Unit: resource.Vector{MilliCPU: 1000}}},
	}}
	s := tb.shares([]string{"a", "b"}, samplesOf(jobs, executions, time.Second, 2*time.Second), twoProcessors)
	if math.Abs(s[0].Used-50) > 0.01 || math.Abs(s[0].Entitled-25) > 0.01 || math.Abs(s[1].Entitled-75) > 0.01 {
		t.Errorf("shares: %+v", s)
	}
}

// Guards against invalid options that are accepted, such as a run too short to
// measure or faults on too few nodes.
func TestOptions(t *testing.T) {
	good := Options{Example: "grantveji", Nodes: 3, Workers: 3, Duration: minDuration}
	if err := good.Check(); err != nil {
		t.Error(err)
	}
	for name, change := range map[string]func(*Options){
		"no node":         func(o *Options) { o.Nodes = 0 },
		"short":           func(o *Options) { o.Duration = time.Second },
		"faults, 2 nodes": func(o *Options) { o.Nodes, o.Faults = 2, true },
		"mixed design":    func(o *Options) { o.Example = "design-size" },
	} {
		o := good
		change(&o)
		if o.Check() == nil {
			t.Error(name)
		}
	}
}
