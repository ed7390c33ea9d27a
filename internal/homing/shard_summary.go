package homing

import "github.com/medlarpulley/medlarpulley/internal/resource"

// ShardSummary is a summary of the state of one shard.
type ShardSummary struct {
	Name string
	Zone string
	// Region is empty if it is not known.
	Region string
	// Owned is set if a process is known to own the shard.
	Owned bool
	// Capacity is the total of all hosts. Free is the total free capacity of the
	// hosts that accept tasks.
	Capacity resource.Vector
	Free     resource.Vector
	// LargestFree is the free capacity of the host with the most free CPU.
	// LargestHost is the capacity of the largest host. Equal CPU is compared by
	// memory in both.
	LargestFree resource.Vector
	LargestHost resource.Vector
	// Waiting is the number of tasks that wait to start in the shard.
	Waiting int64
}

// tasksFittingNow returns an estimate of how many tasks of a size fit into the
// free capacity.
func (s ShardSummary) tasksFittingNow(size resource.Vector) int64 {
	if !size.Fits(s.LargestFree) {
		return 0
	}
	return tasksFitting(size, s.Free)
}

// tasksFittingEmpty returns an estimate of how many tasks of a size fit into the
// shard while no task runs there.
func (s ShardSummary) tasksFittingEmpty(size resource.Vector) int64 {
	if !size.Fits(s.LargestHost) {
		return 0
	}
	return tasksFitting(size, s.Capacity)
}

// tasksFitting returns how many times size fits into v as if v were one host.
func tasksFitting(size, v resource.Vector) int64 { return v.UnitsIn(size) }
