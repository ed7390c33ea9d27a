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
	// hostClock is the host's clock in the answer to a poll that was sent at polledAt and
	// arrived at receivedAt.
	hostClock            time.Duration
	polledAt, receivedAt time.Duration
	// latestEnd is the latest end of the lease that any order has carried, on the
	// host's clock.
	latestEnd time.Duration
	// inheritedEnd is the latest end that orders to an earlier lifetime may have given to
	// this one.
	inheritedEnd time.Duration
}

// observe records the host's clock from an answer to a poll.
func (l *lease) observe(clockMs int64, polledAt, receivedAt time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hostClock, l.polledAt, l.receivedAt = time.Duration(clockMs)*time.Millisecond, polledAt, receivedAt
}

// isOwnClock reports whether a clock that a host showed at a time, or before, is certainly
// that of this lifetime. A later one began after this one was polled, so it shows less.
func (l *lease) isOwnClock(clock, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	sincePoll := now - l.polledAt
	return clock > sincePoll+time.Duration(maxClockDrift*float64(sincePoll))
}

// grant returns the end of the lease for the next order, on the host's clock.
func (l *lease) grant(now time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latestEnd = max(l.latestEnd, l.hostClock+(now-l.receivedAt)+l.duration)
	return l.latestEnd
}

// inherits reports whether orders to an earlier lifetime may still make the lease longer than
// the owner's orders do.
func (l *lease) inherits(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inheritedEnd > 0 && now <= l.receivedAt+runsEndWithin(l.inheritedEnd-l.hostClock)
}

// limitInherited limits the lease that orders to an earlier lifetime may have given to this one,
// once none of them can be carried out any more, to the longest one that the host accepts from the
// last poll on; zero for no limit.
func (l *lease) limitInherited(maxLease time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if maxLease > 0 {
		l.inheritedEnd = min(l.inheritedEnd, l.hostClock+maxLease)
	}
}

// expiry returns the time on the local clock at which the lease has certainly expired.
func (l *lease) expiry() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.receivedAt + runsEndWithin(max(l.latestEnd, l.inheritedEnd, l.hostClock)-l.hostClock)
}
