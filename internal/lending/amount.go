package lending

// transferAmount returns the units to transfer for one limit; toPool is true if
// they are returned to the pool.
func (l *Lender) transferAmount(o Observation, shards int64) (units int64, toPool bool) {
	equalShare := o.Units / max(shards, 1)
	shortfall := o.Used + o.Waiting - o.Allotment
	if shortfall > 0 {
		return drawAmount(shortfall, o), false
	}
	idle := l.idleWindows[o.Limit].minimum()
	if unmet := o.OthersUnmet - o.Pool; unmet > 0 {
		return min(idle, returnAmount(unmet, idle, o.OthersIdle)), true
	}
	if o.OthersUnmet > 0 {
		return 0, false
	}
	if excess := min(idle, o.Allotment-equalShare); excess >= max(1, equalShare/minExcessDivisor) {
		return excess, true
	}
	return min(equalShare-o.Allotment, (o.Pool+shards-1)/max(shards, 1)), false
}

// drawAmount returns the units to draw from the pool for a shortfall. The pool is
// divided among the shards that draw at the same time, since the ledger ignores
// a transfer that the pool cannot cover.
func drawAmount(shortfall int64, o Observation) int64 {
	return min(shortfall, (o.Pool+o.OtherShardsWithUnmetDemand)/(o.OtherShardsWithUnmetDemand+1), o.Pool)
}

// returnAmount returns this shard's share of the unmet demand of other shards, in
// proportion to its idle units and rounded up, so that all shards together do
// not return a multiple of the demand.
func returnAmount(unmet, idle, othersIdle int64) int64 {
	total := idle + max(othersIdle, 0)
	if total <= 0 || idle <= 0 {
		return 0
	}
	// Quotient and remainder are multiplied separately to avoid overflow of 64
	// bits.
	q, r := unmet/total, unmet%total
	return q*idle + (r*idle+total-1)/total
}
