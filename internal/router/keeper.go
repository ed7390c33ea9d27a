package router

import "time"

// MaxBorrowers bounds the borrowers of one runner. More get nothing.
const MaxBorrowers = 64

// Keeper is the lending table of one node for the runners whose slot keeper
// it is. It never lends more than a runner's slots, counting every request
// that a lease it gave, or an earlier keeper gave, may have started.
type Keeper struct {
	options Options
	runners map[string]*runnerLending
}

// NewKeeper returns a table without runners.
func NewKeeper(o Options) *Keeper {
	return &Keeper{options: o, runners: map[string]*runnerLending{}}
}

// Start makes the node keeper of a runner. It lends after one lease length,
// when every lease of an earlier keeper has ended.
func (k *Keeper) Start(now time.Duration, runner string, slots int) {
	if r, ok := k.runners[runner]; ok {
		r.slots = slots
		return
	}
	if len(k.runners) >= MaxRunners {
		return
	}
	lendAt := LeaseEnd(now, k.options.LeaseLength)
	k.runners[runner] = &runnerLending{
		slots: slots, lendAt: lendAt, clearAt: LeaseEnd(lendAt, k.options.MaxRequestTime),
		inherited: slots, entries: map[borrower]*lendingEntry{},
	}
}

// Stop ends the node's part as keeper of a runner.
func (k *Keeper) Stop(runner string) { delete(k.runners, runner) }

// Keeps tells whether the node is keeper of a runner.
func (k *Keeper) Keeps(runner string) bool { return k.runners[runner] != nil }

// Lend answers a demand: it returns the slots that the borrower may use for
// one lease length from its send time; none of a runner that leaves. ok is false if the node is not the
// keeper, does not lend yet, or the request is out of order; the borrower then
// keeps the lease it has until that ends.
func (k *Keeper) Lend(now time.Duration, node string, incarnation, sequence uint64, d Demand) (slots int, ok bool) {
	r := k.runners[d.Runner]
	if r == nil {
		return 0, false
	}
	k.expire(now, r)
	b := borrower{node, incarnation}
	e := r.entries[b]
	if e == nil {
		if len(r.entries) >= MaxBorrowers {
			return 0, false
		}
		e = &lendingEntry{}
		r.entries[b] = e
	}
	if sequence <= e.sequence {
		return 0, false
	}
	e.sequence, e.want, e.orphans = sequence, max(d.Want, 0), orphanSet{}
	// Held is a promise to start nothing beyond it until a grant arrives.
	e.bound = max(d.InUse, d.Held, 0)
	e.until = LeaseEnd(now, k.options.LeaseLength)
	if d.Leaving {
		r.said.heard(now, true)
	}
	if r.said.leaving {
		// Granting nothing is safe beside the leases of an earlier keeper.
		return 0, true
	}
	if now < r.lendAt {
		return 0, false
	}
	grant := k.grant(now, r, e)
	e.bound = max(e.bound, grant)
	return grant, true
}

func (k *Keeper) grant(now time.Duration, r *runnerLending, e *lendingEntry) int {
	others, unmet, active := r.inherited, false, 0
	for _, o := range r.entries {
		if o != e {
			others += o.bound
			unmet = unmet || (now < o.until && o.want > o.bound)
		}
		if now < o.until && o.want > 0 {
			active++
		}
	}
	limit := max(r.slots-others, 0)
	// With unmet demand elsewhere nobody keeps more than an equal part.
	if unmet && active > 0 {
		limit = min(limit, max((r.slots+active-1)/active, 1))
	}
	return min(e.want, limit)
}

func (k *Keeper) expire(now time.Duration, r *runnerLending) {
	if now >= r.clearAt {
		r.inherited = 0
	}
	for b, e := range r.entries {
		if now >= e.until+k.options.MaxRequestTime || (now >= e.until && e.bound == 0) {
			delete(r.entries, b)
		}
	}
}

// NeedStatus returns whether a status of the runner would free slots.
func (k *Keeper) NeedStatus(now time.Duration, runner string) bool {
	r := k.runners[runner]
	if r == nil {
		return false
	}
	if now >= r.lendAt && r.inherited > 0 {
		return true
	}
	for _, e := range r.entries {
		if now >= e.until && e.bound > 0 {
			return true
		}
	}
	return false
}

// Status takes the state of a runner, asked for at a time, and frees slots of
// ended leases whose requests are no longer in flight.
func (k *Keeper) Status(asked time.Duration, runner string, listed []string, inFlight int) {
	r := k.runners[runner]
	if r == nil || len(listed) < inFlight {
		return
	}
	if asked >= r.lendAt {
		r.inherited = min(r.inherited, r.orphans.update(listed))
	}
	for _, e := range r.entries {
		if asked >= e.until {
			e.bound = min(e.bound, e.orphans.update(listed))
		}
	}
}

// Lent returns the slots of a runner that count as taken. It can exceed the
// runner's slots after a change of keepers, while a request counts both as
// inherited and as reported by its node; nothing is granted meanwhile.
func (k *Keeper) Lent(runner string) int {
	r := k.runners[runner]
	if r == nil {
		return 0
	}
	sum := r.inherited
	for _, e := range r.entries {
		sum += e.bound
	}
	return sum
}

// Retain ends the node's part as keeper of all runners but some.
func (k *Keeper) Retain(keep func(runner string) bool) {
	for id := range k.runners {
		if !keep(id) {
			delete(k.runners, id)
		}
	}
}
