package lending

import (
	"slices"
	"time"
)

// Lender decides about the transfers of all limits of one shard.
type Lender struct {
	lastID      uint64
	pending     []pending
	idleWindows map[string]minWindow
	// budget is the number of transfers that may be sent now, in thousandths;
	// it refills at MaxTransfersPerSecond.
	budget      int64
	refilledAt  time.Duration
	hasRefilled bool
	// firstLimit is the index of the limit that is considered first. It rotates,
	// so that the bound on transfers does not starve the last limits.
	firstLimit int
}

// New returns a Lender without pending transfers.
func New() *Lender {
	return &Lender{idleWindows: map[string]minWindow{}, budget: MaxTransfersPerSecond * 1000}
}

// Appended records that the log contains a transfer at an offset.
func (l *Lender) Appended(id, offset uint64) {
	for i := range l.pending {
		if l.pending[i].ID == id {
			l.pending[i].offset, l.pending[i].appended = offset, true
		}
	}
}

// Refused records that the log does not contain a transfer and never will. It
// must not be called for a transfer whose result is unknown, which stays pending:
// its units stay deducted until Appended gives its offset and that offset was
// read.
func (l *Lender) Refused(id uint64) {
	l.pending = slices.DeleteFunc(l.pending, func(p pending) bool { return p.ID == id })
}

// Available returns the units of a limit that this shard may use, given the
// ledger's allotment at a read offset.
func (l *Lender) Available(limit string, allotment int64, readOffset uint64) int64 {
	for _, p := range l.pending {
		if p.Limit == limit && p.Return && !p.isRead(readOffset) {
			allotment -= p.Units
		}
	}
	return max(allotment, 0)
}

// isRead reports whether the transfer is known to lie below a read offset.
func (p *pending) isRead(readOffset uint64) bool { return p.appended && p.offset < readOffset }

// Decide returns the transfers to append now. At most one transfer per limit is
// pending, so that each amount is computed from a state that includes all
// earlier transfers.
func (l *Lender) Decide(now time.Duration, in Input) []Transfer {
	l.pending = slices.DeleteFunc(l.pending, func(p pending) bool { return p.isRead(in.ReadOffset) })
	l.refillBudget(now)
	limits := in.Limits[:min(len(in.Limits), maxLimits)]
	l.updateIdleWindows(now, in.ReadOffset, limits)
	if !in.LogReachable || len(limits) == 0 {
		return nil
	}
	var out []Transfer
	l.firstLimit = (l.firstLimit + 1) % len(limits)
	for i := range limits {
		o := limits[(i+l.firstLimit)%len(limits)]
		if l.budget < 1000 {
			break
		}
		if l.isPending(o.Limit) {
			continue
		}
		units, toPool := l.transferAmount(o, in.Shards)
		if units <= 0 {
			continue
		}
		l.lastID++
		l.budget -= 1000
		t := Transfer{ID: l.lastID, Limit: o.Limit, Return: toPool, Units: units}
		l.pending = append(l.pending, pending{Transfer: t})
		out = append(out, t)
	}
	return out
}

func (l *Lender) isPending(limit string) bool {
	return slices.ContainsFunc(l.pending, func(p pending) bool { return p.Limit == limit })
}

func (l *Lender) refillBudget(now time.Duration) {
	if l.hasRefilled {
		l.budget = min(l.budget+int64((now-l.refilledAt)/time.Millisecond)*MaxTransfersPerSecond, MaxTransfersPerSecond*1000)
	}
	l.refilledAt, l.hasRefilled = now, true
}

// updateIdleWindows adds the idle units of each limit to its window and drops the
// windows of limits that no longer exist.
func (l *Lender) updateIdleWindows(now time.Duration, readOffset uint64, limits []Observation) {
	next := make(map[string]minWindow, len(limits))
	for _, o := range limits {
		idle := l.Available(o.Limit, o.Allotment, readOffset) - o.Used - o.Waiting
		next[o.Limit] = l.idleWindows[o.Limit].add(now, max(idle, 0))
	}
	l.idleWindows = next
}
