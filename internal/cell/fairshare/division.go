package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// usageMemory is the time after which past usage counts for 1/e.
const usageMemory = 4 * time.Second

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
	keep := math.Exp(-elapsed.Seconds() / usageMemory.Seconds())
	mean, total := meanWeight(accounts), 0.0
	for _, a := range accounts {
		if a.weight = min(a.Weight, maxWeight); a.weight <= 0 {
			a.weight = mean
		}
		a.Usage = a.Used.Dominant(capacity)
		if !a.known {
			a.known, a.Average = true, a.Usage
		}
		a.Average = a.Usage + keep*(a.Average-a.Usage)
		a.wanted = max(a.Used.Plus(a.waiting).within(a.Limit).Dominant(capacity), a.Usage)
		a.Entitled = a.wanted
		total += a.wanted
	}
	if d.Contended = total > 1; d.Contended {
		d.fill(accounts)
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
// how much the team would use with half of this work, by weight, and whether that is beyond its
// share, so that the work is excess. With half of it, rounding favours neither small nor large
// shares. Work is not excess while the team uses less than half of its share, since a gang may
// be wider than that.
func (d *Division) Claim(a *Account, work Amounts) (level float64, excess bool) {
	before := a.level() + a.claimed.Dominant(d.capacity)
	a.claimed = a.claimed.Plus(work)
	middle := before + work.Dominant(d.capacity)/2
	return middle / a.weight, d.Contended && middle >= a.Entitled && before >= a.Entitled/2
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
