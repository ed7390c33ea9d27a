package owner

import (
	"sync"
	"time"
)

// lease follows the lease of one host on the host's own clock.
type lease struct {
	length time.Duration

	mu sync.Mutex
	// hostClock was shown by an answer that arrived at received.
	hostClock time.Duration
	received  time.Duration
	seen      bool
	// granted is the latest end that any order has carried.
	granted time.Duration
}

// observe records the clock in an answer.
func (l *lease) observe(clockMs int64, received time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hostClock, l.received, l.seen = time.Duration(clockMs)*time.Millisecond, received, true
}

// reset forgets a former life of the host.
func (l *lease) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.granted = 0
}

// grant returns the end of the lease for the next order in milliseconds of the
// host's clock, and zero before the clock is known.
func (l *lease) grant(now time.Duration) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.seen {
		return 0
	}
	l.granted = max(l.granted, l.hostClock+(now-l.received)+l.length)
	return l.granted.Milliseconds()
}

// over returns when the lease is over for certain on the local clock; ok is
// false if this owner never heard of the host.
func (l *lease) over() (at time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.seen {
		return 0, false
	}
	return l.received + stretched(max(l.granted-l.hostClock, 0)), true
}
