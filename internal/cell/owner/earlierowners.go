package owner

import "time"

// earlierOwners tells until when earlier owners may have renewed leases on hosts.
type earlierOwners struct {
	// isGone is set once it is known that none of them can act any more; that was first known
	// at goneAt. They may have acted until then: one whose process ends after the claim has
	// had its authority, and has renewed leases, until its end.
	isGone bool
	goneAt time.Duration
}

// checkGone asks whether no earlier owner can act any more, until it is so.
func (e *earlierOwners) checkGone(gone func() bool, now time.Duration) {
	if !e.isGone && gone != nil && gone() {
		e.isGone, e.goneAt = true, now
	}
}

// actUntil returns the time until which earlier owners may have acted, or may act.
func (e *earlierOwners) actUntil(claimedAt time.Duration) time.Duration {
	latest := claimedAt + AuthorityDuration
	if e.isGone {
		return min(latest, max(e.goneAt, claimedAt))
	}
	return latest
}
