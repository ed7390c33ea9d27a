package owner

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
)

const testEvacuationBound = 5 * time.Second

// evacuationTest is an owner with one host in each of two zones, both of which can take
// several tasks, and the evacuated zones as its process has read them.
type evacuationTest struct {
	*hostTest
	zones  *cell.EvacuatedZones
	readAt time.Duration
	read   bool
	asked  int
	logged bytes.Buffer
}

func newEvacuationTest(t *testing.T, bound time.Duration) *evacuationTest {
	e := &evacuationTest{hostTest: newHostTest(t), read: true}
	e.readAt = e.clock.now
	e.options.Log = slog.New(slog.NewTextHandler(&e.logged, nil))
	e.options.Evacuated = func() (*cell.EvacuatedZones, time.Duration, bool) { return e.zones, e.readAt, e.read }
	e.options.EvacuationBound = bound
	e.options.RequestTakeover = func() { e.asked++ }
	stored := make(map[string]registry.Host)
	var listed []cell.Host
	for _, zone := range []string{"z1", "z2"} {
		spec := testHost("host-"+zone, zone) // its address is the name of its zone
		spec.Zone = zone
		stored[spec.ID] = registry.Host{Spec: spec}
		listed = append(listed, spec)
		e.client.answers[zone] = answersAs(10)
	}
	e.list(stored, listed...)
	for _, h := range listed {
		e.pollOnce(h.ID)
	}
	return e
}

// readNow records that the zones have been read again.
func (e *evacuationTest) readNow() { e.readAt = e.clock.now }

// submitMany submits tasks, some of which fit on each host.
func (e *evacuationTest) submitMany(prefix string, n int) {
	for i := range n {
		e.submit(fmt.Sprint(prefix, i))
	}
}

// Guards against a start order that was planned, waited to be sent, and is sent to a zone
// that has been evacuated meanwhile; and against a task that is lost or waits on then.
func TestStartThatWaitsIsNotSentToAnEvacuatedZone(t *testing.T) {
	e := newEvacuationTest(t, testEvacuationBound)
	e.submitMany("job", 20) // more than one host holds
	plan, _, _ := e.plan()
	planned := make(map[string]int)
	for _, s := range plan.Starts {
		planned[s.Host]++
	}
	if planned["host-z1"] == 0 || planned["host-z2"] == 0 {
		t.Fatalf("starts are planned on %v, want both hosts", planned)
	}
	e.zones = cell.NewEvacuatedZones("z1")
	e.execute(t.Context(), plan)
	e.goroutines.Wait()
	if got := len(e.client.started); got != planned["host-z2"] || strings.Contains(strings.Join(e.client.started, " "), "z1") {
		t.Errorf("starts are sent to %v, want %d to z2", e.client.started, planned["host-z2"])
	}
	if orders := e.poller("host-z1").calls.list; len(orders) != 0 {
		t.Errorf("%d orders that were not sent are remembered", len(orders))
	}
	e.zones = nil
	e.readNow()
	if got := e.decideOnce(); len(got) != planned["host-z1"] {
		t.Errorf("%d tasks start once the zone is back, want %d", len(got), planned["host-z1"])
	}
}

// Guards against a start order that was planned on a recent read of the zones and is sent
// on an old one.
func TestStartThatWaitsIsNotSentOnAnOldRead(t *testing.T) {
	e := newEvacuationTest(t, testEvacuationBound)
	e.submitMany("job", 2)
	plan, _, _ := e.plan()
	e.clock.now += MaxEvacuationAge(testEvacuationBound)
	e.authority.extend(e.clock.now)
	e.execute(t.Context(), plan)
	e.goroutines.Wait()
	if len(e.client.started) > 0 {
		t.Errorf("starts are sent to %v", e.client.started)
	}
}

// Guards against an owner that starts tasks while it cannot read which zones are evacuated,
// although the store accepts its appends; against one that is never replaced then; and
// against work that stays waiting.
func TestNothingStartsOnAnOldReadOfTheZones(t *testing.T) {
	e := newEvacuationTest(t, testEvacuationBound)
	for e.clock.now < e.readAt+MaxEvacuationAge(testEvacuationBound)-200*time.Millisecond {
		e.decideOnce()
	}
	e.submitMany("before", 1)
	if got := e.decideOnce(); len(got) != 1 {
		t.Errorf("%d starts on a read that is recent enough, want 1", len(got))
	}
	e.submitMany("after", 3)
	for range 25 {
		if got := e.decideOnce(); len(got) > 0 {
			t.Fatalf("tasks start at %v on a read from %s ago", got, e.clock.now-e.readAt)
		}
	}
	if e.asked != 2 {
		t.Errorf("other nodes were asked to take over %d times in 2.5 s, want 2", e.asked)
	}
	if !e.Dump().Cell.StartsHeld {
		t.Error("the dump does not show that nothing starts")
	}
	e.readNow()
	if got := e.decideOnce(); len(got) != 3 {
		t.Errorf("%d starts after another read, want 3", len(got))
	}
	for _, text := range []string{"No tasks start", "tasks start again"} {
		if n := strings.Count(e.logged.String(), text); n != 1 {
			t.Errorf("%d lines with %q, want 1", n, text)
		}
	}
}

// Guards against a new owner that starts tasks before its process has read the zones.
func TestNewOwnerStartsNothingBeforeTheFirstRead(t *testing.T) {
	e := newEvacuationTest(t, testEvacuationBound)
	e.read, e.readAt = false, 0
	e.submitMany("job", 2)
	if got := e.decideOnce(); len(got) > 0 {
		t.Errorf("tasks start at %v", got)
	}
	e.read, e.zones = true, cell.NewEvacuatedZones("z2")
	e.readNow()
	if got := e.decideOnce(); len(got) != 2 || got[0] != "z1" || got[1] != "z1" {
		t.Errorf("tasks start at %v, want z1 twice", got)
	}
}

// Guards against a change for deployments without the setting: there an old read holds up
// no start, and evacuations are in effect as they are read.
func TestWithoutABoundStartsGoOnOnAnOldRead(t *testing.T) {
	e := newEvacuationTest(t, 0)
	e.read, e.readAt = false, 0
	e.clock.now += time.Hour
	e.submitMany("job", 2)
	if got := e.decideOnce(); len(got) != 2 || e.asked != 0 {
		t.Errorf("tasks start at %v, other nodes were asked %d times", got, e.asked)
	}
	e.zones = cell.NewEvacuatedZones("z1")
	e.submitMany("later", 2)
	if got := e.decideOnce(); len(got) != 2 || got[0] != "z2" || got[1] != "z2" {
		t.Errorf("tasks start at %v, want z2 twice", got)
	}
}

// Guards against a scheduler that is made anew, after a submission at which the first one
// failed, and does not know the evacuated zones.
func TestSchedulerMadeAnewKnowsTheZones(t *testing.T) {
	e := newEvacuationTest(t, testEvacuationBound)
	e.zones = cell.NewEvacuatedZones("z1")
	e.decideOnce()
	e.scheduler, e.desired = newScheduler(e.options), nil
	e.decideOnce()
	if d := e.Dump().Cell.Evacuated; len(d) != 1 || d[0].Zone != "z1" {
		t.Errorf("the dump has the evacuated zones %+v", d)
	}
}

// Guards against an evacuation of which the log tells nothing or too much.
func TestLogTellsOfEvacuations(t *testing.T) {
	e := newEvacuationTest(t, testEvacuationBound)
	e.submitMany("job", 20)
	onZone := 0
	for _, address := range e.decideOnce() {
		if address == "z1" {
			onZone++
		}
	}
	e.zones = cell.NewEvacuatedZones("z1")
	for range 3 {
		e.decideOnce()
	}
	if want := fmt.Sprintf(`msg="The evacuation of an availability zone begins." zone=z1 hosts=1 runs=%d`, onZone); strings.Count(e.logged.String(), want) != 1 {
		t.Errorf("the log lacks %q once:\n%s", want, e.logged.String())
	}
	e.zones = cell.NewEvacuatedZones()
	e.decideOnce()
	if want := `msg="The evacuation of an availability zone has ended." zone=z1 hosts=1`; strings.Count(e.logged.String(), want) != 1 {
		t.Errorf("the log lacks %q once:\n%s", want, e.logged.String())
	}
	var many []string
	for i := range 1000 {
		many = append(many, fmt.Sprint("unknown", i))
	}
	e.logged.Reset()
	e.zones = cell.NewEvacuatedZones(many...)
	e.decideOnce()
	if n := strings.Count(e.logged.String(), "\n"); n > maxZoneLines+1 {
		t.Errorf("%d lines about 1,000 zones", n)
	}
}

// Guards against an order that is still in flight when the evacuation has to be in effect,
// whatever the bound is, and against a bound at which nothing can ever start.
func TestOrdersInFlightFitIntoTheBound(t *testing.T) {
	for _, bound := range []time.Duration{time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, testEvacuationBound, time.Hour} {
		e := newEvacuationTest(t, bound)
		age := MaxEvacuationAge(bound)
		if age <= 0 || age+e.startTimeout() > bound {
			t.Errorf("bound %s: an order may be sent until %s and take %s", bound, age, e.startTimeout())
		}
		if bound >= 2*time.Second && e.startTimeout() != orderTimeout {
			t.Errorf("bound %s: orders have only %s", bound, e.startTimeout())
		}
	}
}
