package owner

import "github.com/medlarpulley/medlarpulley/internal/cell/schedule"

const (
	// taskBytes is the memory of a task that has been created and does not run.
	taskBytes = 300
	// weightShare is the part of the memory of the process that tasks which have been created
	// may take. As much again is garbage until the collector has run.
	weightShare = 0.35
)

// MaxWeight returns how much work an owner may hold that has so much memory, in bytes.
func MaxWeight(memory int64) int {
	return max(int(weightShare*float64(memory))/taskBytes, schedule.MinMaxWeight)
}
