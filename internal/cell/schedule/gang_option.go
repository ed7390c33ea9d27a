package schedule

import (
	"cmp"
	"slices"
)

// gangOption is a host for members of a gang, with what ranks it.
type gangOption struct {
	host                           *host
	score, unusedCPU, tasksThatFit int
	// faster is by how many steps the host is faster than the gang needs; see
	// Scheduler.preferEqualSpeed.
	faster int
}

// sortOptions sorts hosts by their score, then by the speed beyond what the gang needs, then
// by unused CPU and by free capacity.
func sortOptions(options []gangOption) {
	slices.SortStableFunc(options, func(a, b gangOption) int {
		if c := cmp.Compare(a.score, b.score); c != 0 {
			return c
		}
		if c := cmp.Compare(a.faster, b.faster); c != 0 {
			return c
		}
		if c := cmp.Compare(b.unusedCPU, a.unusedCPU); c != 0 {
			return c
		}
		return cmp.Compare(b.tasksThatFit, a.tasksThatFit)
	})
}
