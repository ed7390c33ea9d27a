package router

import "time"

// SetWaiting sets the number of queued requests, which Demands asks slots for.
func (t *Table) SetWaiting(n int) { t.waiting = n }

// Demands returns the demands to one lease manager, for the runners for which
// manages returns true. From this call on the node starts no request beyond Held,
// so the manager may grant the remaining slots to other nodes. sequence is the
// sequence of the message that carries the demands.
func (t *Table) Demands(now time.Duration, sequence uint64, manages func(runner string) bool) []Demand {
	out := make([]Demand, 0, len(t.runners))
	share := 0
	if n := len(t.runners); n > 0 {
		share = (t.waiting + n - 1) / n
	}
	for _, r := range t.runners {
		if !manages(r.ID) {
			continue
		}
		want := max(min(max(r.peakInUse, r.inUse())+1+share, r.Slots), 1)
		if r.isLeaving() {
			want = r.inUse()
		}
		if now >= r.leaseEndsAt {
			r.leased = 0
		}
		r.leased = min(r.leased, want)
		r.lastSequence = sequence
		r.peakInUse = (r.peakInUse + r.inUse()) / 2
		if r.unconfirmedLeaving {
			r.leavingSequence = sequence
		}
		out = append(out, Demand{Runner: r.ID, Want: want, InUse: r.inUse(), Held: r.leased, Leaving: r.unconfirmedLeaving})
	}
	return out
}

// ApplyGrant applies a lease that the lease manager granted in answer to the
// demand with the given sequence and send time. A grant for an older demand is
// ignored, since a later demand may have promised to use fewer slots. leaving
// is what the manager knows of the runner; it is ignored if this node has a
// newer report that the grant does not cover.
func (t *Table) ApplyGrant(sent time.Duration, sequence uint64, runner string, slots int, length time.Duration, leaving bool) {
	r, ok := t.byID[runner]
	if !ok || sequence != r.lastSequence {
		return
	}
	r.leased = min(slots, r.Slots)
	r.leaseEndsAt = sent + min(length, t.options.LeaseLength)
	if r.unconfirmedLeaving && r.leavingSequence != sequence {
		return
	}
	r.unconfirmedLeaving = false
	r.reported = leavingState{leaving: leaving, asOf: sent}
}

// LeasedAndInUse returns the number of slots that are leased and the number in
// use, over all runners.
func (t *Table) LeasedAndInUse(now time.Duration) (held, inUse int) {
	for _, r := range t.runners {
		if now < r.leaseEndsAt {
			held += r.leased
		}
		inUse += r.inUse()
	}
	return held, inUse
}
