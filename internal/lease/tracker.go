package lease

import "time"

// Tracker tracks, on the owner's side, the leases of one worker by its clock.
// Each response of the worker carries a stamp, a reading of its clock, and the
// owner echoes the latest stamp in its next request. The worker extends its
// leases to the echoed stamp plus their length. The time at which the owner
// received a stamp is therefore an upper bound, on the owner's clock, for the
// start of the lease.
type Tracker struct {
	incarnation uint64
	stamp       time.Duration
	receivedAt  time.Duration
	// echoedReceivedAt is when the owner received the stamp it echoed last.
	echoedReceivedAt time.Duration
	echoed           bool
}

// RecordResponse records the stamp of a response. Responses may arrive out of
// order; an older incarnation and an older stamp of the same incarnation are
// ignored. It reports whether the worker has restarted since the latest recorded
// response.
func (h *Tracker) RecordResponse(receivedAt time.Duration, incarnation uint64, stamp time.Duration) (restarted bool) {
	restarted = h.incarnation != 0 && incarnation > h.incarnation
	if incarnation < h.incarnation || (incarnation == h.incarnation && stamp <= h.stamp) {
		return false
	}
	h.incarnation, h.stamp, h.receivedAt = incarnation, stamp, receivedAt
	return restarted
}

// Echo returns the incarnation and the stamp to echo in the next request. From
// then on ExpiresBy assumes that this request extends every lease.
func (h *Tracker) Echo() (incarnation uint64, stamp time.Duration) {
	if h.incarnation != 0 {
		h.echoedReceivedAt, h.echoed = h.receivedAt, true
	}
	return h.incarnation, h.stamp
}

// Incarnation returns the incarnation of the latest response; zero before the first.
func (h *Tracker) Incarnation() uint64 { return h.incarnation }

// Stamp returns the reading of the worker's clock in the latest response.
func (h *Tracker) Stamp() time.Duration { return h.stamp }

// ExpiresBy returns the time on the owner's clock by which every lease of the
// given length that this owner may have granted or extended has expired for
// certain. It is zero if the owner granted none.
func (h *Tracker) ExpiresBy(length time.Duration) time.Duration {
	if !h.echoed {
		return 0
	}
	return h.echoedReceivedAt + SafeWait(length)
}
