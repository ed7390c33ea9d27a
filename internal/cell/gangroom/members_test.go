package gangroom

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// Guards against a size of members that outlives the gangs, which would order hosts by gangs
// that no longer exist.
func TestMembersAreForgotten(t *testing.T) {
	var m Members
	free, task := resource.Vector{MilliCPU: 64_000}, resource.Vector{MilliCPU: 11_000}
	if d := m.Displaced(free, task); d != 0 {
		t.Errorf("%d members displaced before any gang", d)
	}
	m.Count(resource.Vector{MilliCPU: 16_000}, 10)
	m.Count(resource.Vector{MilliCPU: 20_000}, 10)
	m.Update(time.Second)
	if d := m.Displaced(free, task); d != 1 {
		t.Errorf("%d members of 18 cores displaced on 64 cores by 11, want 1", d)
	}
	m.Update(time.Second + membersRetention)
	if d := m.Displaced(free, task); d != 1 {
		t.Errorf("%d members displaced within the retention, want 1", d)
	}
	m.Update(time.Second + membersRetention + 1)
	if d := m.Displaced(free, task); d != 0 {
		t.Errorf("%d members displaced after the retention, want 0", d)
	}
}

// Guards against a count of displaced members that depends on anything but the room that is
// left, or is negative on hosts that hold more than their capacity.
func TestDisplacedIsTheLossOfRoom(t *testing.T) {
	amount := rapid.Int64Range(0, 64)
	rapid.Check(t, func(t *rapid.T) {
		vector := func(name string) resource.Vector {
			return resource.Vector{MilliCPU: amount.Draw(t, name+" cpu"), MemoryMiB: amount.Draw(t, name+" memory")}
		}
		var m Members
		m.Count(vector("member"), 3)
		m.Update(0)
		free, task := vector("used").Sub(vector("free")), vector("task")
		d := m.Displaced(free, task)
		if d < 0 {
			t.Fatalf("%d members displaced", d)
		}
		if got := m.Displaced(free, resource.Vector{}); got != 0 {
			t.Errorf("a task without a size displaces %d members", got)
		}
		if more := m.Displaced(free, task.Scale(2)); more < d {
			t.Errorf("a task displaces %d members, one twice as large %d", d, more)
		}
	})
}

// Guards against sums that overflow, by which members had a negative size.
func TestHugeMembersDoNotOverflow(t *testing.T) {
	var m Members
	huge := resource.Vector{MilliCPU: math.MaxInt64, MemoryMiB: math.MaxInt64 / 3}
	for range 100 {
		m.Count(huge, math.MaxInt32)
	}
	if m.Update(time.Hour); m.Size() != (resource.Vector{MilliCPU: maxCountedSize, MemoryMiB: maxCountedSize}) {
		t.Errorf("the mean size is %v", m.Size())
	}
}
