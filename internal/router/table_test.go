package router

import (
	"fmt"
	"testing"
	"time"
)

func tableOf(n int, zone string) *Table {
	o := DefaultOptions()
	o.Zone = zone
	t := NewTable(o)
	for i := range n {
		id := fmt.Sprint("r", i)
		t.Add(Runner{ID: id, Zone: fmt.Sprint("z", i%2), Slots: 8})
	}
	grantAll(t, 0)
	return t
}

func grantAll(t *Table, now time.Duration) {
	t.Demands(now, uint64(now)+1, func(string) bool { return true })
	for _, r := range t.Runners() {
		t.ApplyGrant(now, uint64(now)+1, r.ID, 8, time.Hour, false)
	}
}

// Guards against a runner that fails fast and attracts traffic, because its errors
// look like low latency.
func TestFastFailuresAreNotPreferred(t *testing.T) {
	tab := tableOf(4, "")
	tab.options.EjectFailureThreshold = 1 << 30
	bad := 0
	for i := range 400 {
		now := time.Duration(i) * time.Millisecond
		p, ok := tab.Pick(now, "x", nil)
		if !ok {
			t.Fatal("no runner has a free slot")
		}
		if p.Runner.ID == "r0" {
			bad++
			tab.Done(now, p, Failed, time.Microsecond)
			continue
		}
		tab.Done(now, p, Answered, 10*time.Millisecond)
	}
	if bad > 100 {
		t.Fatalf("the failing runner got %d of 400 requests, more than a quarter", bad)
	}
}

// Guards against ejecting so many runners that the others are overloaded, and
// against a runner that stays ejected forever.
func TestEjectionIsBoundedAndOnProbation(t *testing.T) {
	tab := tableOf(10, "")
	for i := range 1000 {
		now := time.Duration(i) * time.Microsecond
		if p, ok := tab.Pick(now, "x", nil); ok {
			tab.Done(now, p, Failed, time.Millisecond)
		}
	}
	if n := tab.ejectedCount(); n != 3 {
		t.Fatalf("%d of 10 runners are ejected, want 3 at 30 %%", n)
	}
	now := tab.options.ProbationAfter + time.Second
	grantAll(tab, now)
	first, _ := tab.Pick(now, "x", nil)
	if !tab.byID[first.Runner.ID].ejected {
		t.Fatalf("%s got the request, want an ejected runner that is due for its trial", first.Runner.ID)
	}
	for range 2 {
		if p, _ := tab.Pick(now, "x", nil); p.Runner.ID == first.Runner.ID {
			t.Fatal("a runner got a second request during its trial")
		}
	}
	tab.Done(now, first, Answered, time.Millisecond)
	if tab.byID[first.Runner.ID].ejected {
		t.Fatal("an answered trial request did not end the ejection")
	}
}

// Guards against requests that cross zones while the node's zone has free slots,
// and against new requests to a leaving runner.
func TestZoneFirstAndLeaving(t *testing.T) {
	tab := tableOf(4, "z1")
	for range 16 {
		if p, _ := tab.Pick(0, "x", nil); p.Runner.Zone != "z1" {
			t.Fatalf("got zone %s", p.Runner.Zone)
		}
	}
	tab.SetLeaving("r0", true)
	tab.RecordLeaving(0, "r2", true)
	if p, ok := tab.Pick(0, "x", nil); ok {
		t.Fatalf("leaving runner %s got a request", p.Runner.ID)
	}
	tab.SetLeaving("r0", false)
	if p, ok := tab.Pick(0, "x", nil); !ok || p.Runner.ID != "r0" {
		t.Fatalf("got %v %v, want r0 of the other zone", p, ok)
	}
}

// Guards against freeing slots in use of a runner that is missing from the list for
// a short time.
func TestDelistedRunnerKeepsItsSlots(t *testing.T) {
	tab := tableOf(1, "")
	p, _ := tab.Pick(0, "x", nil)
	tab.Done(0, p, Unknown, 0)
	tab.Delist("r0")
	tab.Add(Runner{ID: "r0", Slots: 8})
	if _, used := tab.LeasedAndInUse(0); used != 1 {
		t.Fatalf("%d slots in use, want the one in unknown state", used)
	}
	tab.ResolveStatus(0, "r0", nil, 0)
	if _, used := tab.LeasedAndInUse(0); used != 1 {
		t.Fatal("a status call sent before the slot became unknown freed it")
	}
	tab.ResolveStatus(1, "r0", nil, 0)
	if _, used := tab.LeasedAndInUse(0); used != 0 {
		t.Fatal("the status did not free the slot")
	}
}
