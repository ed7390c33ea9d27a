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

// mayAct reports whether an earlier owner may still act.
func (e *earlierOwners) mayAct(claimedAt, now time.Duration) bool {
	return !e.isGone && now <= claimedAt+runsEndWithin(AuthorityDuration)
}

// checkEarlierOwnersEnded checks what a successor may be told of earlier owners. That every
// run is known or has ended does not suffice: an earlier owner that acts may renew the lease of a
// host that has not answered this one, or that has restarted since and knows no fencing token.
// The caller holds the lock.
func (ow *Owner) checkEarlierOwnersEnded() {
	if ow.earlierOwnersEnded.Load() || !ow.reconciled.Load() {
		return
	}
	ow.checkEarlierOwners()
	ow.earlierOwnersEnded.Store(!ow.earlierOwners.mayAct(ow.options.ClaimedAt, ow.options.Clock.Now()))
}

// EarlierOwnersEnded reports whether every run of earlier owners is known or has ended, and
// none of them can act any more; see registry.Ownership.
func (ow *Owner) EarlierOwnersEnded() bool { return ow.earlierOwnersEnded.Load() }
