// Package gang is the placement policy of gangs. It places all tasks of a gang at
// once or none: in one rack if possible, else in one zone, else anywhere in the
// shard.
package gang

import (
	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/scheduler/plan"
)

// Assignment is a number of tasks to place on a host. Host is an index into the
// hosts passed to Place.
type Assignment struct {
	Host  int
	Tasks int
}

// Policy is the placement policy of gangs.
type Policy struct{}

// Place returns assignments for n tasks of the given size, or false if they do not
// all fit. Hosts are filled in the given order.
func (Policy) Place(n int, size resource.Vector, hosts []*plan.Host) ([]Assignment, bool) {
	racks, zones, all := map[int32]int{}, map[int32]int{}, 0
	for _, h := range hosts {
		k := TasksThatFit(size, h.Free)
		racks[h.Rack] += k
		zones[h.Zone] += k
		all += k
	}
	if all < n {
		return nil, false
	}
	for _, domain := range []func(*plan.Host) bool{
		tightest(hosts, racks, n, func(h *plan.Host) int32 { return h.Rack }),
		tightest(hosts, zones, n, func(h *plan.Host) int32 { return h.Zone }),
	} {
		if domain != nil {
			return fill(n, size, hosts, domain), true
		}
	}
	return fill(n, size, hosts, func(*plan.Host) bool { return true }), true
}

// tightest returns a predicate for the hosts of the failure domain with the least
// free capacity that still fits n tasks, or nil if there is none. room is the
// number of tasks that fit into each domain; of returns the domain of a host.
func tightest(hosts []*plan.Host, room map[int32]int, n int, of func(*plan.Host) int32) func(*plan.Host) bool {
	best, found := int32(0), false
	for _, h := range hosts {
		d := of(h)
		if room[d] >= n && (!found || room[d] < room[best]) {
			best, found = d, true
		}
	}
	if !found {
		return nil
	}
	return func(h *plan.Host) bool { return of(h) == best }
}

// fill assigns n tasks to the hosts for which in returns true.
func fill(n int, size resource.Vector, hosts []*plan.Host, in func(*plan.Host) bool) []Assignment {
	var out []Assignment
	for i, h := range hosts {
		if n == 0 {
			break
		}
		if !in(h) {
			continue
		}
		if k := min(n, TasksThatFit(size, h.Free)); k > 0 {
			out = append(out, Assignment{Host: i, Tasks: k})
			n -= k
		}
	}
	return out
}

// TasksThatFit returns how many tasks of the given size fit into free.
func TasksThatFit(size, free resource.Vector) int {
	if free.IsNegative() || size.IsZero() {
		return 0
	}
	return int(min(free.UnitsIn(size), 1<<30))
}
