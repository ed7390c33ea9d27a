// Package boottime reads the monotonic clock that also runs while the machine is
// suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock reads CLOCK_BOOTTIME.
type Clock struct{}

// Now returns the time since the machine was booted.
func (Clock) Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every Linux since 2.6.39 has this clock
	}
	return time.Duration(t.Nano())
}
