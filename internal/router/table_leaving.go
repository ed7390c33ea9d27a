package router

import "time"

// SaidLeaving records whether a runner told this node that it is leaving. at is
// the send time of the status call, or the time at which the answer arrived.
func (t *Table) SaidLeaving(at time.Duration, id string, leaving bool) {
	r, ok := t.byID[id]
	if ok && r.reported.update(at, leaving) {
		r.unconfirmedLeaving, r.leavingSequence = leaving, 0
	}
}

// Heard records that a runner answered a request at a time without reporting that
// it is leaving. It does not clear the leaving state, since answers can arrive out
// of order.
func (t *Table) Heard(at time.Duration, id string) {
	if r, ok := t.byID[id]; ok {
		r.lastAnswerAt = max(r.lastAnswerAt, at)
	}
}

// LastHeard returns the latest time passed to Heard, or zero.
func (t *Table) LastHeard(id string) time.Duration {
	if r, ok := t.byID[id]; ok {
		return r.lastAnswerAt
	}
	return 0
}
