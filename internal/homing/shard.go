package homing

import "github.com/medlarpulley/medlarpulley/internal/resource"

// Shard is the summary of one shard.
type Shard struct {
	Name string
	Zone string
	// Region is empty if it is not known.
	Region string
	// Owned is false while no process is known to own the shard.
	Owned bool
	// Capacity is that of all hosts, Free the room on hosts that take tasks.
	Capacity resource.Vector
	Free     resource.Vector
	// LargestFree and LargestHost are per resource.
	LargestFree resource.Vector
	LargestHost resource.Vector
	// Waiting is the number of tasks that wait in the shard.
	Waiting int64
}

// room returns about how many tasks of a size fit at once.
func (s Shard) room(size resource.Vector) int64 {
	if !size.Fits(s.LargestFree) {
		return 0
	}
	return fitting(size, s.Free)
}

// total returns about how many tasks of a size the empty shard holds.
func (s Shard) total(size resource.Vector) int64 {
	if !size.Fits(s.LargestHost) {
		return 0
	}
	return fitting(size, s.Capacity)
}

// fitting returns how many times size fits into v, taken as one host.
func fitting(size, v resource.Vector) int64 { return v.UnitsIn(size) }
