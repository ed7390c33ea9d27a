package owner

import (
	"sync/atomic"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

const (
	// AuthorityFor is how long an owner may act after it sent the last append
	// that the store accepted under its token.
	AuthorityFor = 4 * time.Second
	// Lease is how long runs go on without a word of the owner.
	Lease = 4500 * time.Millisecond
	// clockDrift is how much slower the clock of a host may be, with a margin.
	clockDrift = 0.03
	// lapseMargin covers the time until a host has ended its runs.
	lapseMargin = 200 * time.Millisecond
)

// authority tells how long the owner may act.
type authority struct {
	clock cell.Clock
	until atomic.Int64
}

// confirm extends the authority from the time at which an accepted append was sent.
func (a *authority) confirm(sent time.Duration) {
	until := int64(sent + AuthorityFor)
	for {
		old := a.until.Load()
		if until <= old || a.until.CompareAndSwap(old, until) {
			return
		}
	}
}

// holds is asked right before each order is sent.
func (a *authority) holds() bool { return int64(a.clock.Now()) < a.until.Load() }

// stretched returns the local time in which a duration passes on a host for certain.
func stretched(d time.Duration) time.Duration {
	return d + time.Duration(clockDrift*float64(d)) + lapseMargin
}
