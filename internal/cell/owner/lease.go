package owner

import (
	"sync"
	"time"
)

// lease tracks the lease of one host on the host's own clock.
type lease struct {
	duration time.Duration

	mu sync.Mutex
	// hostClock is the host's clock in the answer that arrived at receivedAt.
	hostClock  time.Duration
	receivedAt time.Duration
	clockKnown bool
	// latestEnd is the latest end of the lease that any order has carried, on the
	// host's clock.
	latestEnd time.Duration
}

// observe records the host's clock from an answer.
func (l *lease) observe(clockMs int64, receivedAt time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hostClock, l.receivedAt, l.clockKnown = time.Duration(clockMs)*time.Millisecond, receivedAt, true
}

// reset clears the lease that the host had before its restart.
func (l *lease) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latestEnd = 0
}

// grant returns the end of the lease for the next order, in milliseconds on the
// host's clock, or zero while that clock is unknown.
func (l *lease) grant(now time.Duration) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.clockKnown {
		return 0
	}
	l.latestEnd = max(l.latestEnd, l.hostClock+(now-l.receivedAt)+l.duration)
	return l.latestEnd.Milliseconds()
}

// expiry returns the time on the local clock at which the lease has certainly
// expired; ok is false if this owner never got an answer from the host.
func (l *lease) expiry() (at time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.clockKnown {
		return 0, false
	}
	return l.receivedAt + runsEndWithin(max(l.latestEnd-l.hostClock, 0)), true
}
