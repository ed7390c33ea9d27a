package hostindex

import (
	"math/rand"
	"testing"

	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// TestVisitIsComplete guards against a host that fits and is never visited, and
// against a host that is visited twice in a complete search.
func TestVisitIsComplete(t *testing.T) {
	rnd := rand.New(rand.NewSource(1))
	vector := func(zero int) resource.Vector {
		v := resource.Vector{MilliCPU: int64(rnd.Intn(64000)), MemoryMiB: int64(rnd.Intn(1 << 18)), Accelerators: int64(rnd.Intn(3))}
		if rnd.Intn(zero) == 0 {
			v.MilliCPU = 0
		}
		return v
	}
	x, free := &Index{}, make([]resource.Vector, 300)
	for range 3000 {
		for range 20 {
			i := rnd.Intn(len(free))
			free[i] = vector(4)
			x.Set(i, free[i], i%3 == 0)
		}
		size := vector(1 << 30)
		size.MilliCPU = max(size.MilliCPU, 1)
		size.MemoryMiB = max(size.MemoryMiB, 1)
		seen := map[int]bool{}
		x.Visit(size, rnd.Intn(2) == 0, func(i int) bool {
			seen[i] = true
			return true
		})
		for i, f := range free {
			if size.Fits(f) && !seen[i] && (size.Accelerators == 0 || i%3 == 0) {
				t.Fatalf("host %d with %s was not visited for %s", i, f, size)
			}
		}
	}
}

// TestVisitOrder guards against a wrong order of hosts: with packing the fullest
// host must come first, without it the emptiest, and hosts with accelerators must
// come last.
func TestVisitOrder(t *testing.T) {
	x := &Index{}
	for i, cores := range []int64{16, 4, 9, 2} {
		x.Set(i, resource.Vector{MilliCPU: cores * 1000, MemoryMiB: 1 << 15}, i == 1)
	}
	for _, c := range []struct {
		pack bool
		want []int
	}{{true, []int{2, 0, 1}}, {false, []int{0, 2, 1}}} {
		var got []int
		x.Visit(resource.Vector{MilliCPU: 3000, MemoryMiB: 1024}, c.pack, func(i int) bool {
			got = append(got, i)
			return true
		})
		if len(got) != 3 || got[0] != c.want[0] || got[1] != c.want[1] || got[2] != c.want[2] {
			t.Errorf("pack %t: got %v, want %v", c.pack, got, c.want)
		}
	}
}
