package owner

import "time"

// EarlierOwner is what is known of the owner before this one, for the log.
type EarlierOwner struct {
	Node, Instance string
	// Evidence tells why it, and those before it, can act no more, or why that is not known.
	Evidence string
}

// checkEarlierOwners asks whether no earlier owner can act any more, and logs when that becomes
// known. The caller holds the lock.
func (ow *Owner) checkEarlierOwners() {
	known, now := ow.earlierOwners.isGone, ow.options.Clock.Now()
	ow.earlierOwners.checkGone(ow.options.EarlierOwnersGone, now)
	if !known && ow.earlierOwners.isGone {
		ow.logEarlierOwner("No earlier owner can act any more.", now)
	}
}

// beginWithEarlierOwners logs whether earlier owners may act when the term begins.
func (ow *Owner) beginWithEarlierOwners() {
	ow.checkEarlierOwners()
	if !ow.earlierOwners.isGone {
		ow.logEarlierOwner("An earlier owner may still act.", ow.options.Clock.Now())
	}
}

func (ow *Owner) logEarlierOwner(text string, now time.Duration) {
	var e EarlierOwner
	if ow.options.EarlierOwner != nil {
		e = ow.options.EarlierOwner()
	}
	ow.options.Log.Info(text, "token", ow.options.Self.Token, "earlier_node", e.Node, "earlier_instance", e.Instance, "evidence", e.Evidence, "after", now-ow.options.ClaimedAt)
}

// Time bounds on which the runs of a silent host are taken as ended.
const (
	boundOwnLease     = "own_lease"
	boundEarlierLease = "earlier_owner_lease"
	boundLongestLease = "longest_lease"
	// boundLateCall is the lease that a call to a former lifetime may have given to a later one.
	boundLateCall = "late_call"
)

// expiryBound returns the time bound on which the runs of a silent host are taken as ended. The
// caller holds the lock.
func (ow *Owner) expiryBound(h *hostPoller) string {
	switch {
	case h.life == nil && h.mayHoldLongestLease():
		return boundLongestLease
	case h.life == nil:
		return boundEarlierLease
	case h.calls.leasesEndBy(ow.options.Clock.Now(), ow.options.MaxLease, h.isListedAsAnother(h.life.startedMs)) > h.life.lease.expiry():
		return boundLateCall
	default:
		return boundOwnLease
	}
}
