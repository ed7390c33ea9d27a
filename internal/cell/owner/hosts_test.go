package owner

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/cell/schedule"
	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/platform"
)

// hostAnswer is what a fake host answers to a poll.
type hostAnswer struct {
	report  cell.HostReport
	refusal platform.Refusal
	err     error
}

// addressedHosts is a client of fake hosts, which answer by address.
type addressedHosts struct {
	HostClient
	mu      sync.Mutex
	answers map[string]hostAnswer
	// polled, started and stopped hold the addresses of polls and accepted orders.
	polled, started, stopped []string
}

func (c *addressedHosts) Poll(_ context.Context, h *cell.Host, _ platform.Poll) (cell.HostReport, int, platform.Refusal, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.polled = append(c.polled, h.Address)
	a := c.answers[h.Address]
	if a.report.StartedMs == 0 {
		a.report.StartedMs = 1 // hosts always report their start
	}
	return a.report, 0, a.refusal, a.err
}

func (c *addressedHosts) Start(_ context.Context, h *cell.Host, o platform.Start) (int64, platform.Refusal, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.answers[h.Address]
	if a.err != nil || a.refusal != platform.NotRefused {
		return 0, a.refusal, a.err
	}
	c.started = append(c.started, h.Address)
	a.report.Running = append(slices.Clone(a.report.Running), cell.Running{Task: o.Task, Run: o.Run})
	c.answers[h.Address] = a
	return a.report.ClockMs, platform.NotRefused, nil
}

func (c *addressedHosts) Stop(_ context.Context, h *cell.Host, task cell.TaskID, run, _ int64) (int64, platform.Refusal, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.answers[h.Address]
	if a.err != nil || a.refusal != platform.NotRefused {
		return 0, a.refusal, a.err
	}
	c.stopped = append(c.stopped, h.Address)
	a.report.Running = slices.DeleteFunc(slices.Clone(a.report.Running), func(r cell.Running) bool { return r.Task == task && r.Run <= run })
	c.answers[h.Address] = a
	return 0, platform.NotRefused, nil
}

// stepClock is a clock that the test moves.
type stepClock struct{ now time.Duration }

func (c *stepClock) Now() time.Duration { return c.now }

// hostTest is an owner whose polls, decisions and rounds of storing are made by the test,
// and what is stored of its hosts.
type hostTest struct {
	*Owner
	t      *testing.T
	clock  *stepClock
	client *addressedHosts
	log    *registry.Registry
	offset uint64
	// ended is a context that has ended, so that no poll loop runs.
	ended context.Context
}

func newHostTest(t *testing.T) *hostTest {
	desired := &cell.Desired{Version: 1, Queues: []cell.Queue{{Name: "q", Service: "s", Stretch: 2}}}
	client := &addressedHosts{answers: make(map[string]hostAnswer)}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	clock := &stepClock{now: time.Hour}
	w := New(Options{
		Self: registry.Ownership{Token: 2}, Clock: clock, WallClock: func() time.Duration { return 0 }, Log: slog.New(slog.DiscardHandler),
		HostClient: client, Desired: func() *cell.Desired { return desired }, ClaimSent: clock.now, ClaimedAt: clock.now,
		EarlierOwnersGone: func() bool { return true },
	})
	return &hostTest{Owner: w, t: t, clock: clock, client: client, log: registry.New(slog.New(slog.DiscardHandler)), ended: ended}
}

func testHost(id, address string) cell.Host {
	return cell.Host{ID: id, Service: "s", Address: address, Capacity: resource.Vector{MilliCPU: 16000, MemoryMiB: 65536}}
}

// list sets the listed hosts; stored are those of which the log has a record, in the
// first call.
func (h *hostTest) list(stored map[string]registry.Host, listed ...cell.Host) {
	h.SetHosts(h.ended, stored, listed)
	h.goroutines.Wait()
}

func (h *hostTest) pollOnce(id string) { h.poll(h.ended, h.poller(id), h.clock.now) }

// recordGone lets all leases on a host expire, and its runs be recorded as gone.
func (h *hostTest) recordGone(p *hostPoller) {
	h.clock.now = max(h.clock.now, h.runsEndBy(p)) + time.Millisecond
	h.recordAllRunsGone(p, h.clock.now)
	if !p.allRunsGone {
		h.t.Fatal("the runs on the host are not recorded as gone")
	}
}

// submit adds a submission of one task.
func (h *hostTest) submit(id string) {
	step := cell.Step{Count: 1, Size: resource.Vector{MilliCPU: 1000, MemoryMiB: 1024}, Estimate: time.Second}
	h.Submitted(registry.Entry{Submission: &cell.Submission{ID: id, Queue: cell.Queue{Name: "q"}, Steps: []cell.Step{step}}})
	h.withState(h.applyEvents)
}

// decideOnce makes one decision and returns the addresses to which starts were sent.
func (h *hostTest) decideOnce() []string {
	h.clock.now += 100 * time.Millisecond
	h.authority.extend(h.clock.now)
	h.client.started = nil
	h.decide(h.t.Context())
	h.goroutines.Wait()
	return h.client.started
}

// storeHosts stores the records of hosts that are due.
func (h *hostTest) storeHosts() {
	records, changes := h.hostRecords()
	for _, r := range records {
		h.offset++
		r.Offset = h.offset
		h.log.Apply(r)
	}
	h.hostRecordsStored(changes)
}

// Guards against a start on a host that a later owner would not know, and against a new
// host that is never used.
func TestNewHostIsUsedOnceStored(t *testing.T) {
	h := newHostTest(t)
	h.list(nil, testHost("h", "a"))
	h.submit("job")
	h.pollOnce("h")
	if got := h.decideOnce(); len(got) > 0 {
		t.Error("a task is started on a host that is not stored")
	}
	h.storeHosts()
	if stored, ok := h.log.Hosts()["h"]; !ok || stored.Closed {
		t.Errorf("the log has the record %+v, %t", stored, ok)
	}
	if got := h.decideOnce(); len(got) != 1 {
		t.Errorf("%d starts on a stored host, want 1", len(got))
	}
}

// Guards against runs on a host that was removed and is listed again, of which a later
// owner would not know: the record of the host was deleted after its return.
func TestRecordOfReturnedHostIsKept(t *testing.T) {
	h := newHostTest(t)
	spec := testHost("h", "a")
	stored := map[string]registry.Host{"h": {Spec: spec}}
	h.log.Apply(registry.HostRecord(stored["h"]))
	h.list(stored, spec)
	h.pollOnce("h")
	h.list(nil)
	h.recordGone(h.poller("h"))
	h.storeHosts()
	if !h.removeIfGone(h.poller("h")) {
		t.Fatal("the host is not removed")
	}
	h.list(nil, spec)
	h.submit("job")
	h.pollOnce("h")
	for range 3 {
		starts := h.decideOnce()
		if stored, ok := h.log.Hosts()["h"]; len(starts) > 0 && (!ok || stored.Closed) {
			t.Errorf("a task was started while the log had the record %+v, %t", stored, ok)
		}
		h.storeHosts()
	}
	if stored, ok := h.log.Hosts()["h"]; !ok || stored.Closed {
		t.Errorf("the log has the record %+v, %t of a host in use", stored, ok)
	}
}

// Guards against a start on a host whose record is deleted: the record of an earlier time
// at which the host was listed had been on its way.
func TestLateRecordOpensNoReturnedHost(t *testing.T) {
	h := newHostTest(t)
	spec := testHost("h", "a")
	h.list(nil, spec)
	h.pollOnce("h")
	_, changes := h.hostRecords()
	h.list(nil)
	h.recordGone(h.poller("h"))
	if !h.removeIfGone(h.poller("h")) {
		t.Fatal("the host is not removed")
	}
	h.list(nil, spec)
	h.hostRecordsStored(changes)
	h.submit("job")
	h.pollOnce("h")
	if got := h.decideOnce(); len(got) > 0 {
		t.Error("a task is started on a host of which the log has no record")
	}
}

// Guards against runs that count for ever on a host that nobody polls any more.
func TestHostWithRunsIsPolledOn(t *testing.T) {
	h := newHostTest(t)
	spec := testHost("h", "a")
	h.list(map[string]registry.Host{"h": {Spec: spec}}, spec)
	h.submit("job")
	h.pollOnce("h")
	h.list(nil)
	p := h.poller("h")
	h.recordGone(p)
	// A run that became known after all others had gone.
	h.scheduler.AssumeRunPresent("h", schedule.Run{Task: cell.TaskID{Submission: "job"}, Run: 5}, h.clock.now)
	if h.removeIfGone(p) {
		t.Fatal("the host is removed although a run is attached to it")
	}
	if h.poller("h") != p {
		t.Error("the host is not polled any more")
	}
	h.client.answers["a"] = isAnotherInstance
	h.pollOnce("h")
	if !h.removeIfGone(p) || h.running("h") != -1 {
		t.Error("the host is not removed once its run has gone")
	}
}
