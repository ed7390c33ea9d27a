package node

import "time"

// clock is the monotonic clock of the process.
type clock struct{ started time.Time }

// Now returns the time since the start of the process.
func (c clock) Now() time.Duration { return time.Since(c.started) }

// sinceStart converts a time to the duration since the start of the process.
func (c clock) sinceStart(t time.Time) time.Duration { return t.Sub(c.started) }
