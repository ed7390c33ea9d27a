// Package lease computes when a lease that a worker measures on its own clock
// has expired for certain, as seen from the owner. The bounds must never be too
// early: an owner would start a task elsewhere while the worker still runs it.
// The package compares durations only and reads no clock.
package lease

import "time"

const (
	// maxDriftPercent is the largest difference in rate between two clocks.
	maxDriftPercent = 1
	// stopAllowance covers the time that a worker needs to stop a task after
	// its lease expires.
	stopAllowance = 500 * time.Millisecond
)

// SafeWait returns how long to wait on the local clock until d has certainly
// passed on the clock of another process, which may run slower.
func SafeWait(d time.Duration) time.Duration {
	return d + d/(100/maxDriftPercent-1) + stopAllowance
}
