package gang

import (
	"testing"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/scheduler/plan"
)

// TestPlace guards against a gang that is spread wider than needed, in the order
// rack, zone, shard, and against a gang that is placed in part.
func TestPlace(t *testing.T) {
	host := func(rack, zone int32, cores int64) *plan.Host {
		return &plan.Host{Rack: rack, Zone: zone, Free: resource.Vector{MilliCPU: cores * 1000, MemoryMiB: 1 << 20}}
	}
	hosts := []*plan.Host{host(0, 0, 4), host(1, 0, 8), host(1, 0, 8), host(2, 1, 8), host(2, 1, 4)}
	for _, c := range []struct {
		name string
		n    int
		want map[int]int
	}{
		{"the smallest rack with enough room", 3, map[int]int{3: 2, 4: 1}},
		{"the larger rack", 4, map[int]int{1: 2, 2: 2}},
		{"one zone", 5, map[int]int{0: 1, 1: 2, 2: 2}},
		{"the whole shard", 8, map[int]int{0: 1, 1: 2, 2: 2, 3: 2, 4: 1}},
		{"none", 9, nil},
	} {
		got, ok := Policy{}.Place(c.n, resource.Vector{MilliCPU: 4000, MemoryMiB: 1}, hosts)
		if ok != (c.want != nil) || len(got) != len(c.want) {
			t.Errorf("%s: got %v %t, want %v", c.name, got, ok, c.want)
		}
		for _, a := range got {
			if c.want[a.Host] != a.Tasks {
				t.Errorf("%s: got %v, want %v", c.name, got, c.want)
			}
		}
	}
}
