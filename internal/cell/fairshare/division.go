package fairshare

import (
	"cmp"
	"slices"
	"time"
)

// adviceFactor is the part of the work that waits for more than room, as for advice, which counts
// towards contention. All of it would make a cell that is nearly full contended without end; none
// would let a burst begin to start before the cell counts as contended.
const adviceFactor = 0.25

// maxWeight bounds the weight of a team, so that sums of weights are finite.
const maxWeight = 1e12

// Division divides a capacity among accounts. The zero value is ready for use.
type Division struct {
	capacity Amounts
	at       time.Duration
	order    []*Account
	// Contended is set if the teams want more than the capacity.
	Contended bool
}

// Divide computes the share of each account by weighted max-min fairness: a team gets what it
// wants if that is no more than its part by weight; what it leaves is divided among the others.
// An account without a weight has the mean weight of the others. Without contention, each team
// is entitled to all that it wants.
func (d *Division) Divide(now time.Duration, capacity Amounts, accounts []*Account) {
	elapsed := max(now-d.at, 0)
	d.capacity, d.at = capacity, now
	d.settle(elapsed, accounts)
	mean, total := meanWeight(accounts), 0.0
	for _, a := range accounts {
		if a.weight = min(a.Weight, maxWeight); a.weight <= 0 {
			a.weight = mean
		}
		a.Usage = a.Used.Dominant(capacity)
		a.wanted = max(a.Used.Plus(a.waiting).within(a.Limit).Dominant(capacity), a.Usage)
		a.Entitled = a.wanted
		total += a.demand(capacity)
	}
	if d.Contended = total > 1; d.Contended {
		d.fill(accounts)
	}
	for _, a := range accounts {
		a.bound(a.widest.Dominant(capacity))
	}
}

// settle brings the balances up to date with what has been used since the last division. What is
// divided is what was used and not the capacity, of which a part may fit nothing: otherwise all
// teams would save shares that nobody can use.
func (d *Division) settle(elapsed time.Duration, accounts []*Account) {
	spent, entitled := 0.0, 0.0
	for _, a := range accounts {
		spent += a.spent.Dominant(d.capacity)
		entitled += a.Entitled
	}
	for _, a := range accounts {
		switch {
		case !d.Contended:
			a.fade(elapsed)
		case entitled > 0:
			a.settle(spent*a.Entitled/entitled, a.spent.Dominant(d.capacity))
		}
		a.spent = Amounts{}
	}
}

// Capacity returns the capacity that was divided last.
func (d *Division) Capacity() Amounts { return d.capacity }

// fill divides a capacity of 1 among accounts that want more.
func (d *Division) fill(accounts []*Account) {
	d.order = append(d.order[:0], accounts...)
	slices.SortStableFunc(d.order, func(a, b *Account) int { return cmp.Compare(a.wanted/a.weight, b.wanted/b.weight) })
	// The sums are built up instead of being reduced: the difference of weights that are far
	// apart could be zero.
	weightsFrom := make([]float64, len(d.order)+1)
	for i := len(d.order) - 1; i >= 0; i-- {
		weightsFrom[i] = weightsFrom[i+1] + d.order[i].weight
	}
	left := 1.0
	for i, a := range d.order {
		a.Entitled = min(a.wanted, left*a.weight/weightsFrom[i])
		left -= a.Entitled
	}
}

// Claim claims work for an account, in the order in which the team's work is placed. It returns
// by how much the team would overdraw its account with half of this work, by weight, and whether
// the work is excess: the account is overdrawn, before the work, by more than the widest item
// that the team has waiting. So a gang that is wider than a share is within it from time to time.
// With half of the work, rounding favours neither small nor large shares.
func (d *Division) Claim(a *Account, work Amounts) (level float64, excess bool) {
	seconds := settlingTime.Seconds()
	before := a.overdraft() + a.claimed.Dominant(d.capacity)*seconds
	a.claimed = a.claimed.Plus(work)
	middle := before + work.Dominant(d.capacity)*seconds/2
	return middle / a.weight, d.Contended && before >= a.widest.Dominant(d.capacity)*seconds
}

func meanWeight(accounts []*Account) float64 {
	sum, n := 0.0, 0
	for _, a := range accounts {
		if a.Weight > 0 {
			sum += min(a.Weight, maxWeight)
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}
