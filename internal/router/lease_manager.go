package router

import "time"

// MaxLeaseHolders bounds the lease holders of one runner. Demands of further
// nodes are rejected.
const MaxLeaseHolders = 64

// LeaseManager holds the slot leases of the runners whose lease manager this
// node is. It must never grant more slots than a runner has. Every request
// counts that may have been started under one of its leases or under a lease of
// an earlier manager.
type LeaseManager struct {
	options Options
	runners map[string]*runnerLeases
}

// NewLeaseManager returns a LeaseManager without runners.
func NewLeaseManager(o Options) *LeaseManager {
	return &LeaseManager{options: o, runners: map[string]*runnerLeases{}}
}

// Start makes the node the lease manager of a runner, or updates the number of
// slots if it is that already. It grants slots only after one lease length, when
// every lease of an earlier manager has ended.
func (k *LeaseManager) Start(now time.Duration, runner string, slots int) {
	if r, ok := k.runners[runner]; ok {
		r.slots = slots
		return
	}
	if len(k.runners) >= MaxRunners {
		return
	}
	grantFrom := LeaseEnd(now, k.options.LeaseLength)
	k.runners[runner] = &runnerLeases{
		slots: slots, grantFrom: grantFrom, inheritedUntil: LeaseEnd(grantFrom, k.options.MaxRequestTime),
		inherited: slots, entries: map[leaseHolder]*leaseEntry{},
	}
}

// Stop removes a runner that the node no longer manages.
func (k *LeaseManager) Stop(runner string) { delete(k.runners, runner) }

// Manages reports whether the node is the lease manager of a runner.
func (k *LeaseManager) Manages(runner string) bool { return k.runners[runner] != nil }

// HandleDemand handles a demand and returns the number of slots that the node
// may use for one lease length from the time it sent the demand. For a runner
// that is leaving this is 0. ok is false if this node is not the runner's lease
// manager, does not grant slots yet, has too many lease holders, or if the
// demand is out of order. The demanding node then uses its current lease until
// that expires.
func (k *LeaseManager) HandleDemand(now time.Duration, node string, incarnation, sequence uint64, d Demand) (slots int, ok bool) {
	r := k.runners[d.Runner]
	if r == nil {
		return 0, false
	}
	k.expire(now, r)
	b := leaseHolder{node, incarnation}
	e := r.entries[b]
	if e == nil {
		if len(r.entries) >= MaxLeaseHolders {
			return 0, false
		}
		e = &leaseEntry{}
		r.entries[b] = e
	}
	if sequence <= e.sequence {
		return 0, false
	}
	e.sequence, e.want, e.orphans = sequence, max(d.Want, 0), orphanSet{}
	// The holder starts no request beyond Held until it receives a grant.
	e.maxInUse = max(d.InUse, d.Held, 0)
	e.endsAt = LeaseEnd(now, k.options.LeaseLength)
	if d.Leaving {
		r.reported.update(now, true)
	}
	if r.reported.leaving {
		// A grant of 0 is safe even while leases of an earlier manager are valid.
		return 0, true
	}
	if now < r.grantFrom {
		return 0, false
	}
	grant := k.grant(now, r, e)
	e.maxInUse = max(e.maxInUse, grant)
	return grant, true
}

func (k *LeaseManager) grant(now time.Duration, r *runnerLeases, e *leaseEntry) int {
	committed, unmetElsewhere, activeHolders := r.inherited, false, 0
	for _, o := range r.entries {
		if o != e {
			committed += o.maxInUse
			unmetElsewhere = unmetElsewhere || (now < o.endsAt && o.want > o.maxInUse)
		}
		if now < o.endsAt && o.want > 0 {
			activeHolders++
		}
	}
	limit := max(r.slots-committed, 0)
	// While other holders have unmet demand, each gets at most an equal part.
	if unmetElsewhere && activeHolders > 0 {
		limit = min(limit, max((r.slots+activeHolders-1)/activeHolders, 1))
	}
	return min(e.want, limit)
}

func (k *LeaseManager) expire(now time.Duration, r *runnerLeases) {
	if now >= r.inheritedUntil {
		r.inherited = 0
	}
	for b, e := range r.entries {
		if now >= e.endsAt+k.options.MaxRequestTime || (now >= e.endsAt && e.maxInUse == 0) {
			delete(r.entries, b)
		}
	}
}

// NeedStatus reports whether a status of the runner could free slots that are
// still counted for expired leases.
func (k *LeaseManager) NeedStatus(now time.Duration, runner string) bool {
	r := k.runners[runner]
	if r == nil {
		return false
	}
	if now >= r.grantFrom && r.inherited > 0 {
		return true
	}
	for _, e := range r.entries {
		if now >= e.endsAt && e.maxInUse > 0 {
			return true
		}
	}
	return false
}

// ApplyStatus applies the list of requests that a runner has in flight, from a
// status call sent at askedAt. It frees the slots of expired leases whose
// requests are no longer listed. A list with fewer than inFlight ids is
// truncated and ignored.
func (k *LeaseManager) ApplyStatus(askedAt time.Duration, runner string, listed []string, inFlight int) {
	r := k.runners[runner]
	if r == nil || len(listed) < inFlight {
		return
	}
	if askedAt >= r.grantFrom {
		r.inherited = min(r.inherited, r.orphans.update(listed))
	}
	for _, e := range r.entries {
		if askedAt >= e.endsAt {
			e.maxInUse = min(e.maxInUse, e.orphans.update(listed))
		}
	}
}

// CommittedSlots returns the number of a runner's slots that count as taken. It
// can exceed the runner's slots after the lease manager changes, while a request
// counts both as inherited and as reported by its node. Nothing is granted
// meanwhile.
func (k *LeaseManager) CommittedSlots(runner string) int {
	r := k.runners[runner]
	if r == nil {
		return 0
	}
	sum := r.inherited
	for _, e := range r.entries {
		sum += e.maxInUse
	}
	return sum
}

// Retain removes all runners for which keep returns false.
func (k *LeaseManager) Retain(keep func(runner string) bool) {
	for id := range k.runners {
		if !keep(id) {
			delete(k.runners, id)
		}
	}
}
