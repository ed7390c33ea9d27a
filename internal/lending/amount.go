package lending

// amount returns the units to move for one limit, and whether to the pool.
func (l *Lender) amount(o Observation, shards int64) (units int64, back bool) {
	part := o.Units / max(shards, 1)
	missing := o.Used + o.Waiting - o.Allotment
	if missing > 0 {
		return draw(missing, o), false
	}
	idle := l.idle[o.Limit].low()
	if unmet := o.OthersUnmet - o.Pool; unmet > 0 {
		return min(idle, portion(unmet, idle, o.OthersIdle)), true
	}
	if o.OthersUnmet > 0 {
		return 0, false
	}
	if excess := min(idle, o.Allotment-part); excess >= max(1, part/minExcessDivisor) {
		return excess, true
	}
	return min(part-o.Allotment, (o.Pool+shards-1)/max(shards, 1)), false
}

// draw returns what to take of the pool. Shards that draw at the same time
// share it, since the ledger ignores a transfer that the pool cannot cover.
func draw(missing int64, o Observation) int64 {
	return min(missing, (o.Pool+o.Needy)/(o.Needy+1), o.Pool)
}

// portion returns this shard's part of what others lack, rounded up, in
// proportion to the idle units, so that shards together do not return a
// multiple of it.
func portion(unmet, idle, othersIdle int64) int64 {
	total := idle + max(othersIdle, 0)
	if total <= 0 || idle <= 0 {
		return 0
	}
	// A whole part and a rest keep the product within 64 bits.
	q, r := unmet/total, unmet%total
	return q*idle + (r*idle+total-1)/total
}
