package router

import "time"

// RecordLeaving records whether a runner reported to this node that it is
// leaving. at is the send time of the status call, or the time at which the
// answer arrived.
func (t *Table) RecordLeaving(at time.Duration, id string, leaving bool) {
	r, ok := t.byID[id]
	if ok && r.reported.update(at, leaving) {
		r.unconfirmedLeaving, r.leavingSequence = leaving, 0
	}
}

// RecordAnswer records that a runner answered a request at a time without
// reporting that it is leaving. It does not clear the leaving state, since
// answers can arrive out of order.
func (t *Table) RecordAnswer(at time.Duration, id string) {
	if r, ok := t.byID[id]; ok {
		r.lastAnswerAt = max(r.lastAnswerAt, at)
	}
}

// LastAnswerAt returns the latest time passed to RecordAnswer, or zero.
func (t *Table) LastAnswerAt(id string) time.Duration {
	if r, ok := t.byID[id]; ok {
		return r.lastAnswerAt
	}
	return 0
}
