package batch

import (
	"slices"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/scheduler/plan"
)

func vec(cores, gib, acc int64) resource.Vector {
	return resource.Vector{MilliCPU: cores * 1000, MemoryMiB: gib * 1024, Accelerators: acc}
}

// TestScore guards against a worse host that scores above a better one: by packing,
// by accelerators that would be stranded, and by balance.
func TestScore(t *testing.T) {
	for _, c := range []struct {
		name    string
		packing int
		size    resource.Vector
		better  plan.Host
		worse   plan.Host
	}{
		{"full packing prefers the fuller host", 100, vec(2, 8, 0),
			plan.Host{Capacity: vec(16, 64, 0), Free: vec(4, 16, 0)}, plan.Host{Capacity: vec(16, 64, 0), Free: vec(16, 64, 0)}},
		{"no packing prefers the emptier host", 0, vec(2, 8, 0),
			plan.Host{Capacity: vec(16, 64, 0), Free: vec(16, 64, 0)}, plan.Host{Capacity: vec(16, 64, 0), Free: vec(4, 16, 0)}},
		{"accelerators are not stranded", 100, vec(2, 8, 0),
			plan.Host{Capacity: vec(16, 64, 0), Free: vec(16, 64, 0)}, plan.Host{Capacity: vec(16, 64, 4), Free: vec(2, 8, 4)}},
		{"balanced remaining capacity is better", 100, vec(2, 2, 0),
			plan.Host{Capacity: vec(16, 64, 0), Free: vec(4, 10, 0)}, plan.Host{Capacity: vec(16, 64, 0), Free: vec(2, 18, 0)}},
	} {
		r := &plan.Request{Size: c.size, Packing: c.packing}
		if a, b := (Policy{}).Score(r, &c.better), (Policy{}).Score(r, &c.worse); a <= b {
			t.Errorf("%s: %d is not above %d", c.name, a, b)
		}
	}
}

// TestDrain guards against a reservation that waits for tasks it does not need.
func TestDrain(t *testing.T) {
	running := []plan.Running{
		{Size: vec(2, 1, 0), Remaining: time.Second}, {Size: vec(8, 1, 0), Remaining: 3 * time.Second},
		{Size: vec(4, 1, 0), Remaining: 2 * time.Second},
	}
	for _, c := range []struct {
		need, free resource.Vector
		want       []int
		ok         bool
	}{
		{vec(2, 1, 0), vec(2, 1, 0), nil, true},
		{vec(4, 1, 0), vec(2, 1, 0), []int{0}, true},
		{vec(6, 1, 0), vec(2, 1, 0), []int{2}, true},
		{vec(16, 1, 0), vec(2, 1, 0), []int{0, 2, 1}, true},
		{vec(17, 1, 0), vec(2, 1, 0), nil, false},
	} {
		d, ok := Policy{}.Drain(c.need, c.free, running)
		if ok != c.ok || !slices.Equal(d.Tasks, c.want) {
			t.Errorf("need %s: got %v %t, want %v %t", c.need, d.Tasks, ok, c.want, c.ok)
		}
	}
}
