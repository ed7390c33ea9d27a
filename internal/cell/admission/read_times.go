package admission

import "time"

const (
	// readTimeSpacing is the least time between two remembered reads, and maxReadTimes their
	// number: together more than MaxSummaryAge.
	readTimeSpacing = 40 * time.Millisecond
	maxReadTimes    = 64
)

// ReadTimes remembers how far the log reached at past times. The zero value is empty.
type ReadTimes struct {
	// ring holds the remembered reads, next is the index of the oldest one once it is full.
	ring []readTime
	next int
	last time.Duration
}

// readTime says that at asOf no record from offset end on was stored.
type readTime struct {
	end  uint64
	asOf time.Duration
}

// Add notes that no record from offset end on was stored at asOf. Times do not fall.
func (r *ReadTimes) Add(end uint64, asOf time.Duration) {
	if len(r.ring) > 0 && asOf < r.last+readTimeSpacing {
		return
	}
	r.last = asOf
	t := readTime{end, asOf}
	if len(r.ring) < maxReadTimes {
		r.ring = append(r.ring, t)
		return
	}
	r.ring[r.next] = t
	r.next = (r.next + 1) % maxReadTimes
}

// Before returns the latest remembered time at which the records before end were not all stored
// yet; false if there is none. What was computed from all of them was computed later.
func (r *ReadTimes) Before(end uint64) (at time.Duration, ok bool) {
	for _, t := range r.ring {
		if t.end < end && (!ok || t.asOf > at) {
			at, ok = t.asOf, true
		}
	}
	return at, ok
}
