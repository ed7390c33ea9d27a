// Package lease computes when a lease that a worker measures on its own clock
// is certainly over. It compares durations only and reads no clock.
package lease

import "time"

const (
	// driftPerCent is the largest difference in the speed of two clocks.
	driftPerCent = 1
	// pauseAllowance covers the time that a worker needs to end a task after
	// its lease.
	pauseAllowance = 500 * time.Millisecond
)

// Bound returns how long to wait, on the local clock, for a duration of
// another process to be over for certain.
func Bound(d time.Duration) time.Duration {
	return d + d/(100/driftPerCent-1) + pauseAllowance
}
