package dispatch

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/medlarpulley/medlarpulley/internal/platform/worker"
	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/scheduler"
	standin "github.com/medlarpulley/medlarpulley/internal/standin/worker"
	"github.com/medlarpulley/medlarpulley/internal/work"
	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

const testTimeout = 60 * time.Second

var hostSize = resource.Vector{MilliCPU: 4000, MemoryMiB: 8192}

// memoryLog is a Recorder that stores outcomes in memory.
type memoryLog struct {
	mu       sync.Mutex
	outcomes map[work.TaskID]work.Outcome
	changed  chan struct{}
}

func newMemoryLog() *memoryLog {
	return &memoryLog{outcomes: map[work.TaskID]work.Outcome{}, changed: make(chan struct{}, 1)}
}

func (l *memoryLog) Intents(_ context.Context, record *ledgerv1.Intents) (map[work.AttemptID]bool, error) {
	effective := map[work.AttemptID]bool{}
	for _, a := range record.Attempts {
		effective[work.AttemptID{Task: work.TaskID{Job: work.JobID(a.Job), Index: a.Index}, Attempt: a.Attempt}] = true
	}
	return effective, nil
}

func (l *memoryLog) Outcomes(_ context.Context, records ...*ledgerv1.Outcomes) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range records {
		for _, o := range r.Ranges {
			for i := o.First; i < o.First+o.Count; i++ {
				l.outcomes[work.TaskID{Job: work.JobID(r.Job), Index: i}] = work.Outcome(o.Outcome)
			}
		}
	}
	select {
	case l.changed <- struct{}{}:
	default:
	}
	return nil
}

// waitForOutcomes blocks until n tasks have an outcome and returns all outcomes.
func (l *memoryLog) waitForOutcomes(t *testing.T, n int) map[work.TaskID]work.Outcome {
	t.Helper()
	timeout := time.After(testTimeout)
	for {
		l.mu.Lock()
		done := len(l.outcomes)
		out := make(map[work.TaskID]work.Outcome, done)
		for id, o := range l.outcomes {
			out[id] = o
		}
		l.mu.Unlock()
		if done >= n {
			return out
		}
		select {
		case <-l.changed:
		case <-timeout:
			t.Fatalf("%d of %d tasks have an outcome", done, n)
		}
	}
}

// testShard is one shard with its simulated hosts.
type testShard struct {
	fleet     *standin.Fleet
	log       *memoryLog
	hosts     []HostEntry
	startedAt time.Time
}

func newTestShard(t *testing.T, hosts int) *testShard {
	t.Helper()
	fleet, err := standin.NewFleet()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	c := &testShard{fleet: fleet, log: newMemoryLog(), startedAt: time.Now()}
	for i := range hosts {
		id := string(rune('a' + i))
		fleet.Add(id, hostSize)
		c.hosts = append(c.hosts, HostEntry{ID: id, Address: fleet.Address(id), Zone: "z", Region: "r", Rack: "k", Capacity: hostSize})
	}
	return c
}

func contract() scheduler.Contract {
	return scheduler.Contract{
		Revision: 1,
		Teams:    map[string]scheduler.Team{"team": {Name: "team", Weight: 1, Limit: "limit"}},
		Queues:   map[string]scheduler.Queue{"queue": {Name: "queue"}},
		Limits:   map[string]scheduler.Limit{"limit": {Name: "limit", Units: 100, UnitName: "slot", Unit: resource.Vector{MilliCPU: 1000, MemoryMiB: 1024}}},
	}
}

// startOwner starts an owner of the shard with a fencing token.
func (c *testShard) startOwner(t *testing.T, token uint64) *Dispatcher {
	t.Helper()
	return c.startOwnerWith(t, token, c.log)
}

// startOwnerWith starts an owner that logs to the given Recorder.
func (c *testShard) startOwnerWith(t *testing.T, token uint64, log Recorder) *Dispatcher {
	t.Helper()
	client := worker.NewHTTPClient()
	s := New(Options{
		Shard: "z/0", Token: token, Clock: func() time.Duration { return time.Since(c.startedAt) },
		PreviousAuthorityEndsBy: time.Since(c.startedAt),
		Authority:               func() bool { return true }, Workers: client, Log: log,
		Offer: func(scheduler.OfferTasks) {}, MaxExchangeInterval: 300 * time.Millisecond,
		Scheduler: scheduler.New(scheduler.Options{HasAllHosts: true}),
		Logger:    slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
	})
	s.Run()
	t.Cleanup(func() { s.Stop(); client.Close() })
	s.SetContract(contract())
	s.SetAllotments(map[string]int64{"limit": 100})
	s.SetHosts(c.hosts)
	return s
}

func job(id string, tasks int32, idempotent bool, command string) scheduler.JobAdded {
	return scheduler.JobAdded{
		Job: work.Job{
			ID: work.JobID(id), Team: "team", Queue: "queue", Tasks: tasks, Idempotent: idempotent,
			Size: resource.Vector{MilliCPU: 1000, MemoryMiB: 1024}, Lease: 2 * time.Second, Command: command,
		},
		Count: tasks,
	}
}

// checkExecutions checks the executions that the fleet recorded: no host runs more
// than it can hold, no task runs in two places at once, and no non-idempotent task
// starts more than once.
func (c *testShard) checkExecutions(t *testing.T, idempotent bool) {
	t.Helper()
	executions := c.fleet.Journal().Executions()
	faults := append(standin.CheckHosts(executions), standin.CheckNoConcurrentAttempts(executions)...)
	faults = append(faults, standin.CheckAtMostOnce(executions, func(work.JobID) bool { return idempotent })...)
	for _, f := range faults {
		t.Error(f)
	}
}

// Guards against lost tasks, overcommitted hosts and tasks that run twice when
// nothing fails.
func TestTasksRunOnce(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		c := newTestShard(t, 3)
		s := c.startOwner(t, 1)
		s.AddJob(job("j", 60, idempotent, "run=10ms"), false)
		for id, o := range c.log.waitForOutcomes(t, 60) {
			if o != work.Succeeded {
				t.Errorf("%s ended as %s", id, o)
			}
		}
		c.checkExecutions(t, idempotent)
		if n := len(c.fleet.Journal().Executions()); n != 60 {
			t.Errorf("%d executions of 60 tasks", n)
		}
	}
}

// Guards against a second start of a task after the response to the first one was
// lost, and against a stall when connections stop carrying any messages.
func TestLostAnswersAndSilentConnections(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		c := newTestShard(t, 3)
		s := c.startOwner(t, 1)
		s.AddJob(job("first", 6, true, "run=10ms"), false)
		c.log.waitForOutcomes(t, 6)
		for _, h := range c.hosts {
			c.fleet.Agent(h.ID).SetFaults(standin.Faults{LoseResponses: 2})
		}
		c.fleet.BlackholeConnections()
		s.AddJob(job("second", 30, idempotent, "run=50ms"), false)
		c.log.waitForOutcomes(t, 36)
		c.checkExecutions(t, idempotent)
	}
}

// Guards against a task that is lost, or that runs in two places, when its
// host dies, or pauses for longer than its lease and resumes.
func TestHostDiesAndHostPauses(t *testing.T) {
	c := newTestShard(t, 3)
	s := c.startOwner(t, 1)
	s.AddJob(job("j", 12, true, "run=1s"), false)
	waitRunning(t, c, 12)
	c.fleet.Agent("a").Kill()
	c.fleet.Agent("b").Pause()
	resume := time.AfterFunc(4*time.Second, c.fleet.Agent("b").Resume)
	defer resume.Stop()
	for id, o := range c.log.waitForOutcomes(t, 12) {
		if o != work.Succeeded {
			t.Errorf("%s ended as %s", id, o)
		}
	}
	c.checkExecutions(t, true)
}

// Guards against an old owner that still starts tasks after a new owner has
// adopted the hosts, and against a new owner that starts running tasks again.
func TestNewOwnerFencesOldOne(t *testing.T) {
	c := newTestShard(t, 3)
	old := c.startOwner(t, 1)
	added := job("j", 24, true, "run=700ms")
	old.AddJob(added, false)
	waitRunning(t, c, 12)
	next := c.startOwner(t, 2)
	added.Attempts = 4096
	next.AddJob(added, true)
	for id, o := range c.log.waitForOutcomes(t, 24) {
		if o != work.Succeeded {
			t.Errorf("%s ended as %s", id, o)
		}
	}
	c.checkExecutions(t, true)
}

// waitRunning blocks until n tasks run.
func waitRunning(t *testing.T, c *testShard, n int) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for time.Now().Before(deadline) {
		running := 0
		for _, h := range c.hosts {
			running += c.fleet.Agent(h.ID).RunningTasks()
		}
		if running >= n {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("%d tasks do not run", n)
}
