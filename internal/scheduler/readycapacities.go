package scheduler

import (
	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/scheduler/gang"
)

// readyCapacities holds the capacities of the hosts that accept tasks.
type readyCapacities struct {
	count map[resource.Vector]int64
	hosts int64
	// smallest is at most the capacity of each host, in every resource.
	smallest resource.Vector
}

func newReadyCapacities() *readyCapacities {
	return &readyCapacities{count: map[resource.Vector]int64{}}
}

func (r *readyCapacities) add(capacity resource.Vector) {
	r.smallest = componentMin(r.smallest, capacity)
	if r.hosts == 0 {
		r.smallest = capacity
	}
	r.hosts++
	r.count[capacity]++
}

// held returns how many of n tasks of a size the hosts hold while they are empty.
func (r *readyCapacities) held(n int64, size resource.Vector) int64 {
	// Without this shortcut a summary with 20,000 sizes takes some twenty times as
	// long.
	if n <= r.hosts && size.Fits(r.smallest) {
		return n
	}
	room := int64(0)
	for capacity, hosts := range r.count {
		room += hosts * int64(gang.TasksThatFit(size, capacity))
	}
	return min(n, room)
}
