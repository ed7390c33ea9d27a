package requests

import "time"

// Clock is a monotonic clock that starts with the process.
type Clock interface {
	Now() time.Duration
}

// systemClock measures the time since start on the monotonic clock.
type systemClock struct{ start time.Time }

// NewClock returns a clock that reads zero now.
func NewClock() Clock { return systemClock{time.Now()} }

// Now implements Clock.
func (c systemClock) Now() time.Duration { return time.Since(c.start) }
