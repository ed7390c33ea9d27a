package router

import "time"

// SaidLeaving records what a runner told this node about itself: in a status
// asked for at a time, or in an answer that arrived then.
func (t *Table) SaidLeaving(at time.Duration, id string, leaving bool) {
	r, ok := t.byID[id]
	if ok && r.said.heard(at, leaving) {
		r.news, r.told = leaving, 0
	}
}

// Heard records that a runner answered a request at a time and did not say
// that it leaves. It ends no leaving: answers can arrive out of order.
func (t *Table) Heard(at time.Duration, id string) {
	if r, ok := t.byID[id]; ok {
		r.heard = max(r.heard, at)
	}
}

// LastHeard returns the time given last to Heard, or zero.
func (t *Table) LastHeard(id string) time.Duration {
	if r, ok := t.byID[id]; ok {
		return r.heard
	}
	return 0
}
