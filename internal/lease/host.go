package lease

import "time"

// Host follows the lease clock of one worker from the owner's side. The owner
// echoes stamps of the worker; a worker extends leases to the echoed stamp
// plus their length. The time at which the owner received a stamp is
// therefore an upper bound, on the owner's clock, for the start of the lease.
type Host struct {
	incarnation uint64
	stamp       time.Duration
	receivedAt  time.Duration
	// echoedAt is when the latest stamp that was ever echoed had been received.
	echoedAt time.Duration
	echoed   bool
}

// Answer records the stamp of an answer. Answers may arrive out of order; an
// older stamp of the same incarnation is ignored. It reports whether the
// worker has restarted since the last answer.
func (h *Host) Answer(receivedAt time.Duration, incarnation uint64, stamp time.Duration) (restarted bool) {
	restarted = h.incarnation != 0 && incarnation > h.incarnation
	if incarnation < h.incarnation || (incarnation == h.incarnation && stamp <= h.stamp) {
		return false
	}
	h.incarnation, h.stamp, h.receivedAt = incarnation, stamp, receivedAt
	return restarted
}

// Echo returns what the next request has to echo, and from then on counts
// leases as extended by it.
func (h *Host) Echo() (incarnation uint64, stamp time.Duration) {
	if h.incarnation != 0 {
		h.echoedAt, h.echoed = h.receivedAt, true
	}
	return h.incarnation, h.stamp
}

// Incarnation returns the incarnation of the latest answer; zero before the first.
func (h *Host) Incarnation() uint64 { return h.incarnation }

// Stamp returns the worker's clock in the latest answer.
func (h *Host) Stamp() time.Duration { return h.stamp }

// Over returns when every lease of a length that this owner may have granted
// or extended is over for certain. It is zero if the owner granted none.
func (h *Host) Over(length time.Duration) time.Duration {
	if !h.echoed {
		return 0
	}
	return h.echoedAt + Bound(length)
}
