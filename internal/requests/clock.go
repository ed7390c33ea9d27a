package requests

import "time"

// Clock tells the monotonic time since the start of the process.
type Clock interface {
	Now() time.Duration
}

// systemClock is the monotonic clock of the process.
type systemClock struct{ start time.Time }

// NewClock returns a clock that starts at zero.
func NewClock() Clock { return systemClock{time.Now()} }

// Now implements Clock.
func (c systemClock) Now() time.Duration { return time.Since(c.start) }
