package router

import "time"

// SetWaiting tells how many admitted requests wait for a slot.
func (t *Table) SetWaiting(n int) { t.waiting = n }

// Demands returns what to ask of a slot keeper for the runners it keeps. From
// now on the node starts nothing beyond Held, so the keeper may lend the rest
// to others. Sequence is that of the request that carries the demands.
func (t *Table) Demands(now time.Duration, sequence uint64, keeps func(runner string) bool) []Demand {
	out := make([]Demand, 0, len(t.runners))
	share := 0
	if n := len(t.runners); n > 0 {
		share = (t.waiting + n - 1) / n
	}
	for _, r := range t.runners {
		if !keeps(r.ID) {
			continue
		}
		want := max(min(max(r.peak, r.inUse())+1+share, r.Slots), 1)
		if r.departing() {
			want = r.inUse()
		}
		if now >= r.until {
			r.held = 0
		}
		r.held = min(r.held, want)
		r.epoch = sequence
		r.peak = (r.peak + r.inUse()) / 2
		if r.news {
			r.told = sequence
		}
		out = append(out, Demand{Runner: r.ID, Want: want, InUse: r.inUse(), Held: r.held, Leaving: r.news})
	}
	return out
}

// Grant installs a lease that the keeper gave in answer to the request with a
// sequence, sent at a time. An answer to an older request is dropped, since
// the node may have promised to hold less in the meantime. Leaving is what the
// keeper knows of the runner; it counts unless this node has newer news.
func (t *Table) Grant(sent time.Duration, sequence uint64, runner string, slots int, length time.Duration, leaving bool) {
	r, ok := t.byID[runner]
	if !ok || sequence != r.epoch {
		return
	}
	r.held = min(slots, r.Slots)
	r.until = sent + min(length, t.options.LeaseLength)
	if r.news && r.told != sequence {
		return
	}
	r.news = false
	r.said = leavingState{leaving: leaving, at: sent}
}

// Held returns the slots that are leased and those in use, over all runners.
func (t *Table) Held(now time.Duration) (held, inUse int) {
	for _, r := range t.runners {
		if now < r.until {
			held += r.held
		}
		inUse += r.inUse()
	}
	return held, inUse
}
