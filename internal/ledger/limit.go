package ledger

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
)

// limit is one upper limit and how it is divided. Pool and the sum of Shards
// make Total, and none is negative.
type limit struct {
	Total int64 `json:"total"`
	Pool  int64 `json:"pool"`
	// Shards holds the allotments that are not zero.
	Shards map[string]int64 `json:"shards,omitempty"`
}

// resize sets the total. An increase goes to the pool. A decrease is taken
// from the pool first, then from all shards in proportion by largest remainder.
func (l *limit) resize(total int64) {
	if total >= l.Total {
		l.Pool += total - l.Total
		l.Total = total
		return
	}
	cut := l.Total - total
	l.Total = total
	fromPool := min(cut, l.Pool)
	l.Pool -= fromPool
	l.shrink(cut - fromPool)
}

// shrink takes units from the shards in proportion to what they have.
func (l *limit) shrink(units int64) {
	if units == 0 {
		return
	}
	var sum int64
	for _, have := range l.Shards {
		sum += have
	}
	type rest struct {
		shard     string
		remainder uint64
	}
	rests := make([]rest, 0, len(l.Shards))
	left := units
	for _, shard := range slices.Sorted(maps.Keys(l.Shards)) {
		hi, lo := bits.Mul64(uint64(l.Shards[shard]), uint64(units))
		share, remainder := bits.Div64(hi, lo, uint64(sum))
		left -= int64(share)
		l.add(shard, -int64(share))
		rests = append(rests, rest{shard, remainder})
	}
	slices.SortFunc(rests, func(a, b rest) int {
		return cmp.Or(cmp.Compare(b.remainder, a.remainder), cmp.Compare(a.shard, b.shard))
	})
	// Only shards with a remainder above zero, which still have a unit, are
	// reached, since the remainders add up to left times sum.
	for _, r := range rests[:left] {
		l.add(r.shard, -1)
	}
}

// balanced reports whether the pool and the allotments add up to the total
// and none is negative.
func (l *limit) balanced() bool {
	sum := l.Pool
	for _, units := range l.Shards {
		if sum < 0 || units < 0 {
			return false
		}
		sum += units
	}
	return sum >= 0 && sum == l.Total
}

// add changes the allotment of a shard.
func (l *limit) add(shard string, units int64) {
	if l.Shards == nil {
		l.Shards = map[string]int64{}
	}
	l.Shards[shard] += units
	if l.Shards[shard] == 0 {
		delete(l.Shards, shard)
	}
}
