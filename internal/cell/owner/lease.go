package owner

import (
	"sync"
	"time"
)

// lease tracks the lease of one lifetime of a host on the host's own clock. It may be used
// once the clock has been observed.
type lease struct {
	duration time.Duration

	mu sync.Mutex
	// hostClock is the host's clock in the answer that arrived at receivedAt.
	hostClock  time.Duration
	receivedAt time.Duration
	// latestEnd is the latest end of the lease that any order has carried, on the
	// host's clock.
	latestEnd time.Duration
}

// observe records the host's clock from an answer.
func (l *lease) observe(clockMs int64, receivedAt time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hostClock, l.receivedAt = time.Duration(clockMs)*time.Millisecond, receivedAt
}

// grant returns the end of the lease for the next order, in milliseconds on the
// host's clock.
func (l *lease) grant(now time.Duration) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latestEnd = max(l.latestEnd, l.hostClock+(now-l.receivedAt)+l.duration)
	return l.latestEnd.Milliseconds()
}

// expiry returns the time on the local clock at which the lease has certainly expired.
func (l *lease) expiry() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.receivedAt + runsEndWithin(max(l.latestEnd-l.hostClock, 0))
}
