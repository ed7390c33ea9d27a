package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// testShard is a Scheduler with teams a and b and hosts of 16 cores, for tests
// of single rules.
type testShard struct {
	*Scheduler
	now time.Duration
}

func cpu(n int64) resource.Vector { return resource.Vector{MilliCPU: 1000 * n, MemoryMiB: 1024 * n} }

func newShard(hosts int, o Options) *testShard {
	s := &testShard{Scheduler: New(o)}
	c := Contract{Teams: map[string]Team{}, Limits: map[string]Limit{}, Policy: Policy{ShareWeight: 100, PackingWeight: 100}}
	for _, n := range []string{"a", "b"} {
		c.Teams[n] = Team{Name: n, Weight: 1, Limit: n}
		c.Limits[n] = Limit{Name: n, Units: 100, UnitName: "slot", Unit: cpu(1)}
	}
	s.apply(ContractChanged{Contract: c})
	s.apply(AllotmentsChanged{Units: map[string]int64{"a": 100, "b": 100}})
	for i := range hosts {
		s.host(i, HostReady)
	}
	return s
}

func (s *testShard) host(i int, st HostState) {
	s.apply(HostChanged{Host: Host{
		ID: fmt.Sprintf("h%d", i), Zone: fmt.Sprintf("z%d", i%2), Rack: fmt.Sprintf("k%d", i%4), Capacity: cpu(16), State: st,
	}})
}

func (s *testShard) apply(ev Event) { s.Apply(s.now, ev) }

// job adds a job of n equal tasks.
func (s *testShard) job(id, team string, k work.Kind, c work.Class, n int32, cores int64, idempotent bool) {
	s.apply(JobAdded{Count: n, Job: work.Job{
		ID: work.JobID(id), Team: team, Kind: k, Class: c, Tasks: n, Size: cpu(cores), Idempotent: idempotent, Lease: 10 * time.Second,
	}})
}

// step advances the clock and returns the actions of Decide in short form. It
// confirms the starts.
func (s *testShard) step(d time.Duration) []string {
	s.now += d
	var out []string
	for _, a := range s.Decide(s.now) {
		switch a := a.(type) {
		case StartTask:
			out = append(out, fmt.Sprintf("start %s %s", a.Attempt, a.Host))
			s.apply(TaskStarted{Attempt: a.Attempt, Host: a.Host})
		case StopTask:
			out = append(out, fmt.Sprintf("stop%d %s", a.Mode, a.Attempt))
		case EndTask:
			out = append(out, fmt.Sprintf("end %s %s %s", a.Task, a.Outcome, a.Reason))
		case OfferTasks:
			out = append(out, fmt.Sprintf("offer %s %d+%d", a.Job, a.First, a.Count))
		}
	}
	return out
}

func (s *testShard) end(id string, i, attempt int32, host string, o work.Outcome) {
	s.apply(TaskEnded{Attempt: work.AttemptID{Task: work.TaskID{Job: work.JobID(id), Index: i}, Attempt: attempt}, Host: host, Outcome: o})
}

func wantActions(t *testing.T, got []string, expected ...string) {
	t.Helper()
	if strings.Join(got, "; ") != strings.Join(expected, "; ") {
		t.Fatalf("got  %q\nwant %q", got, expected)
	}
}

// TestUrgentVictims guards the choice of the tasks that urgent work preempts,
// and the order of stop requests: checkpoint, throttle, kill.
func TestUrgentVictims(t *testing.T) {
	s := newShard(1, Options{})
	s.job("old", "a", work.Batch, work.Normal, 1, 4, true)
	wantActions(t, s.step(0), "start old/0#1 h0")
	s.job("fixed", "a", work.Batch, work.Normal, 1, 8, false)
	wantActions(t, s.step(5*time.Second), "start fixed/0#1 h0")
	s.job("new", "a", work.Batch, work.Normal, 1, 4, true)
	wantActions(t, s.step(5*time.Second), "start new/0#1 h0")
	s.job("u", "b", work.Batch, work.Urgent, 1, 4, true)
	wantActions(t, s.step(time.Second), "stop0 new/0#1")
	s.apply(UsageReported{Host: "h0", Usage: cpu(15)})
	wantActions(t, s.step(2*time.Second), "stop1 new/0#1")
	wantActions(t, s.step(2*time.Second), "stop2 new/0#1")
	s.end("new", 0, 1, "h0", work.Stopped)
	wantActions(t, s.step(100*time.Millisecond), "start u/0#1 h0")
	s.end("u", 0, 1, "h0", work.Succeeded)
	wantActions(t, s.step(100*time.Millisecond), "end u/0 succeeded ", "start new/0#2 h0")
}

// TestUrgentShares guards against an urgent task of a team above its entitled
// share that preempts tasks of a team within its own.
func TestUrgentShares(t *testing.T) {
	s := newShard(2, Options{})
	s.job("mine", "a", work.Batch, work.Urgent, 1, 16, true)
	s.job("plus", "a", work.Batch, work.Normal, 1, 4, false)
	s.step(0)
	s.job("theirs", "b", work.Batch, work.Normal, 3, 4, true)
	s.step(time.Second)
	s.job("u", "a", work.Batch, work.Urgent, 1, 4, true)
	wantActions(t, s.step(time.Second))
}

// TestLoweredAllotment guards invariant I4 when an allotment falls: idempotent
// tasks are stopped, started non-idempotent tasks are not, and nothing starts
// over the limit.
func TestLoweredAllotment(t *testing.T) {
	s := newShard(2, Options{})
	s.job("keep", "a", work.Batch, work.Normal, 1, 8, false)
	s.job("early", "a", work.Batch, work.Normal, 1, 4, true)
	s.step(0)
	s.job("late", "a", work.Batch, work.Normal, 2, 4, true)
	s.step(time.Second)
	s.apply(AllotmentsChanged{Units: map[string]int64{"a": 12, "b": 100}})
	wantActions(t, s.step(time.Second), "stop0 late/0#1", "stop0 late/1#1")
	s.end("late", 0, 1, "h0", work.Stopped)
	s.end("late", 1, 1, "h1", work.Stopped)
	s.apply(AllotmentsChanged{Units: map[string]int64{"a": 2, "b": 100}})
	got := s.step(time.Second)
	if strings.Contains(strings.Join(got, " "), "keep") || strings.Contains(strings.Join(got, " "), "start") {
		t.Fatalf("non-idempotent task stopped or a start over the limit: %q", got)
	}
}

// TestInfeasible guards the messages for jobs that can never run, and that
// their tasks are offered to other shards unless this shard has all hosts.
func TestInfeasible(t *testing.T) {
	for _, c := range []struct {
		whole bool
		cores int64
		kind  work.Kind
		tasks int32
		want  []string
	}{
		{true, 24, work.Batch, 1, []string{"end j/0 infeasible infeasible: the closest host has 16 cores, a task needs 24"}},
		{true, 16, work.Gang, 3, []string{
			"end j/0 infeasible infeasible: empty hosts hold 2 tasks, the gang has 3",
			"end j/1 infeasible infeasible: empty hosts hold 2 tasks, the gang has 3",
			"end j/2 infeasible infeasible: empty hosts hold 2 tasks, the gang has 3"}},
		{true, 200, work.Batch, 1, []string{`end j/0 infeasible infeasible: limit "a" is 100 slot, a start needs 200`}},
		{false, 24, work.Batch, 2, []string{"offer j 0+2"}},
	} {
		s := newShard(2, Options{HasAllHosts: c.whole})
		s.job("j", "a", c.kind, work.Normal, c.tasks, c.cores, true)
		wantActions(t, s.step(0), c.want...)
		s.job("small", "a", work.Batch, work.Normal, 1, 1, true)
		wantActions(t, s.step(0), "start small/0#1 h0")
	}
}

// TestOffer guards the offer of tasks for which the shard has too little free
// capacity, and that moved tasks are not started here.
func TestOffer(t *testing.T) {
	s := newShard(1, Options{OfferDelay: 3 * time.Second})
	s.job("j", "a", work.Batch, work.Normal, 4, 8, true)
	wantActions(t, s.step(0), "start j/0#1 h0", "start j/1#1 h0")
	wantActions(t, s.step(3*time.Second), "offer j 2+2")
	s.apply(TasksMoved{Job: "j", First: 2, Count: 2})
	s.end("j", 0, 1, "h0", work.Succeeded)
	wantActions(t, s.step(20*time.Second), "end j/0 succeeded ")
}

// TestSpreadAndEvacuate guards the spread of replicas over hosts, and against
// leaving hosts that take down more than one replica at once.
func TestSpreadAndEvacuate(t *testing.T) {
	s := newShard(4, Options{})
	s.job("svc", "a", work.Service, work.Normal, 4, 2, true)
	wantActions(t, s.step(0), "start svc/0#1 h0", "start svc/1#1 h1", "start svc/2#1 h2", "start svc/3#1 h3")
	s.host(0, HostLeaving)
	s.host(1, HostLeaving)
	wantActions(t, s.step(time.Second), "stop0 svc/0#1")
	s.end("svc", 0, 1, "h0", work.Stopped)
	wantActions(t, s.step(time.Second), "start svc/0#2 h2")
	wantActions(t, s.step(time.Second), "stop0 svc/1#1")
	s.apply(HostGone{Host: "h3"})
	wantActions(t, s.step(time.Second), "start svc/3#2 h2")
}

// TestReportsOfOldAttempts guards against reports of an older attempt that
// change the state of a newer one.
func TestReportsOfOldAttempts(t *testing.T) {
	s := newShard(2, Options{})
	s.job("j", "a", work.Batch, work.Normal, 1, 16, true)
	wantActions(t, s.step(0), "start j/0#1 h0")
	s.apply(HostGone{Host: "h0"})
	wantActions(t, s.step(time.Second), "start j/0#2 h1")
	s.host(0, HostReady)
	old := work.AttemptID{Task: work.TaskID{Job: "j"}, Attempt: 1}
	s.apply(HostAdopted{Host: "h0", Running: []RunningTask{{Attempt: old, Size: cpu(16)}}})
	wantActions(t, s.step(500*time.Millisecond), "stop2 j/0#1")
	s.end("j", 0, 2, "h1", work.Failed)
	wantActions(t, s.step(500*time.Millisecond))
	s.end("j", 0, 1, "h0", work.Failed)
	wantActions(t, s.step(time.Second), "start j/0#3 h1")
}

// TestNonIdempotent guards invariant I7: no second attempt of a non-idempotent
// task whose first attempt may have run.
func TestNonIdempotent(t *testing.T) {
	s := newShard(1, Options{})
	s.job("gone", "a", work.Batch, work.Normal, 1, 2, false)
	wantActions(t, s.step(0), "start gone/0#1 h0")
	s.apply(HostGone{Host: "h0"})
	wantActions(t, s.step(0), "end gone/0 lost the host is gone and did not report the end of the task")
	s.host(0, HostReady)
	s.apply(JobAdded{Count: 2, Intended: map[int32]int32{0: 1}, Attempts: 1, Job: work.Job{
		ID: "held", Team: "a", Tasks: 2, Size: cpu(1), Lease: 10 * time.Second}})
	wantActions(t, s.step(time.Second), "start held/1#2 h0")
	wantActions(t, s.step(20*time.Second), "end held/0 lost may have been started before, but no host reported it")
}

// TestCancelWave guards against placements that are delayed by thousands of
// cancellations at once, and against cancelled tasks that never end.
func TestCancelWave(t *testing.T) {
	s := newShard(2, Options{MaxActions: 100})
	for i := range 20 {
		s.job(fmt.Sprintf("w%d", i), "a", work.Batch, work.Normal, 500, 16, true)
	}
	s.step(0)
	for i := range 20 {
		s.apply(JobCancelled{Job: work.JobID(fmt.Sprintf("w%d", i))})
	}
	s.end("w0", 0, 1, "h0", work.Stopped)
	s.job("next", "b", work.Batch, work.Normal, 1, 4, true)
	if got := strings.Join(s.step(0), ";"); !strings.Contains(got, "start next/0#1") {
		t.Fatalf("no start in the first decision: %.300s", got)
	}
	ends := 0
	for range 200 {
		ends += len(s.step(time.Millisecond))
	}
	if left := s.Summary().Waiting; left != 0 || ends < 9800 {
		t.Fatalf("%d tasks wait and %d actions came after 200 decisions", left, ends)
	}
}

// TestQuarantine guards that a failing host is distinguished from a failing
// job, and that a quarantined host runs one task at a time.
func TestQuarantine(t *testing.T) {
	s := newShard(1, Options{})
	for i := range 3 {
		id := fmt.Sprintf("j%d", i)
		s.job(id, "a", work.Batch, work.Normal, 1, 1, false)
		wantActions(t, s.step(0), "start "+id+"/0#1 h0")
		s.end(id, 0, 1, "h0", work.Failed)
		s.step(0)
	}
	s.job("p", "a", work.Batch, work.Normal, 2, 1, true)
	wantActions(t, s.step(time.Second))
	wantActions(t, s.step(30*time.Second), "offer p 0+2", "start p/0#1 h0")
	s.end("p", 0, 1, "h0", work.Succeeded)
	wantActions(t, s.step(0), "end p/0 succeeded ", "start p/1#1 h0")
}
