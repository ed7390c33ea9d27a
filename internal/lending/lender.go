package lending

import (
	"slices"
	"time"
)

// Lender decides for the limits of one shard.
type Lender struct {
	id      uint64
	pending []pending
	idle    map[string]window
	// budget is in thousandths of a transfer; it refills with time.
	budget   int64
	refilled time.Duration
	started  bool
	// turn rotates the limit that is looked at first, so that the bound on
	// transfers does not starve the last ones.
	turn int
}

// New returns a Lender without pending transfers.
func New() *Lender {
	return &Lender{idle: map[string]window{}, budget: TransfersPerSecond * 1000}
}

// Appended notes that the log holds a transfer at an offset.
func (l *Lender) Appended(id, offset uint64) {
	for i := range l.pending {
		if l.pending[i].ID == id {
			l.pending[i].offset, l.pending[i].appended = offset, true
		}
	}
}

// Refused notes that the log certainly does not hold a transfer and never
// will. A transfer whose fate is unknown stays pending instead: its units stay
// deducted until Appended tells where it is and that offset was read.
func (l *Lender) Refused(id uint64) {
	l.pending = slices.DeleteFunc(l.pending, func(p pending) bool { return p.ID == id })
}

// Available returns the units of a limit that this shard may use, given the
// ledger's allotment at a read offset.
func (l *Lender) Available(limit string, allotment int64, readOffset uint64) int64 {
	for _, p := range l.pending {
		if p.Limit == limit && p.Return && !p.read(readOffset) {
			allotment -= p.Units
		}
	}
	return max(allotment, 0)
}

func (p *pending) read(readOffset uint64) bool { return p.appended && p.offset < readOffset }

// Decide returns the transfers to be appended now. At most one transfer per
// limit is pending, so that amounts are computed from what was read.
func (l *Lender) Decide(now time.Duration, in Input) []Transfer {
	l.pending = slices.DeleteFunc(l.pending, func(p pending) bool { return p.read(in.ReadOffset) })
	l.refill(now)
	limits := in.Limits[:min(len(in.Limits), maxLimits)]
	l.observe(now, in.ReadOffset, limits)
	if !in.LogReachable || len(limits) == 0 {
		return nil
	}
	var out []Transfer
	l.turn = (l.turn + 1) % len(limits)
	for i := range limits {
		o := limits[(i+l.turn)%len(limits)]
		if l.budget < 1000 {
			break
		}
		if l.isPending(o.Limit) {
			continue
		}
		units, back := l.amount(o, in.Shards)
		if units <= 0 {
			continue
		}
		l.id++
		l.budget -= 1000
		t := Transfer{ID: l.id, Limit: o.Limit, Return: back, Units: units}
		l.pending = append(l.pending, pending{Transfer: t})
		out = append(out, t)
	}
	return out
}

func (l *Lender) isPending(limit string) bool {
	return slices.ContainsFunc(l.pending, func(p pending) bool { return p.Limit == limit })
}

func (l *Lender) refill(now time.Duration) {
	if l.started {
		l.budget = min(l.budget+int64((now-l.refilled)/time.Millisecond)*TransfersPerSecond, TransfersPerSecond*1000)
	}
	l.refilled, l.started = now, true
}

// observe updates the idle windows and drops those of limits that are gone.
func (l *Lender) observe(now time.Duration, readOffset uint64, limits []Observation) {
	next := make(map[string]window, len(limits))
	for _, o := range limits {
		idle := l.Available(o.Limit, o.Allotment, readOffset) - o.Used - o.Waiting
		next[o.Limit] = l.idle[o.Limit].add(now, max(idle, 0))
	}
	l.idle = next
}
