package owner

import (
	"sync/atomic"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

const (
	// AuthorityDuration is how long an owner may act after it sent the last append
	// that the store accepted under its fencing token.
	AuthorityDuration = 4 * time.Second
	// minGangAuthority is how long the authority has to last for a gang to be started: as long
	// as the answers to the orders may take. If it ended in between, the members that have
	// started would wait for the others, and the owner could not stop them.
	minGangAuthority = orderTimeout
	// LeaseDuration is how long runs continue on a host without a renewal by the owner.
	LeaseDuration = 4500 * time.Millisecond
	// maxClockDrift is the largest fraction by which the clock of a host may run
	// slower than the local one, with a margin.
	maxClockDrift = 0.03
	// runEndMargin covers the time that a host needs to end its runs after their
	// lease has expired.
	runEndMargin = 200 * time.Millisecond
)

// authority is the owner's permission to act, which expires unless appends to
// the log extend it.
type authority struct {
	clock     cell.Clock
	expiresAt atomic.Int64
	revoked   atomic.Bool
}

// revoke ends the authority for good.
func (a *authority) revoke() { a.revoked.Store(true) }

// extend renews the authority from the time at which an accepted append was sent.
func (a *authority) extend(sentAt time.Duration) {
	expiresAt := int64(sentAt + AuthorityDuration)
	for {
		old := a.expiresAt.Load()
		if expiresAt <= old || a.expiresAt.CompareAndSwap(old, expiresAt) {
			return
		}
	}
}

// validAt reports whether the owner may act as of a reading of the clock. A lease is granted as
// of the reading that was checked: a later one may be past the end of the authority, since the
// process may be paused in between. A successor relies on the latest end of a lease.
func (a *authority) validAt(now time.Duration) bool {
	return !a.revoked.Load() && int64(now) < a.expiresAt.Load()
}

// lasts reports whether the owner may act for a time from now on, also if no append extends
// its authority.
func (a *authority) lasts(d time.Duration) bool { return a.validAt(a.clock.Now() + d) }

// valid reports whether the owner may act. It grants no lease; see validAt.
func (a *authority) valid() bool { return a.lasts(0) }

// runsEndWithin returns how long to wait on the local clock until a lease of
// duration d has certainly expired on a host with the slowest clock allowed, and
// the runs there have ended.
func runsEndWithin(d time.Duration) time.Duration {
	return d + time.Duration(maxClockDrift*float64(d)) + runEndMargin
}
