package ledger

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
)

// limit is an upper limit on a resource and its division among shards. Pool and
// all Shards add up to Total, and none of them is negative.
type limit struct {
	Total int64 `json:"total"`
	Pool  int64 `json:"pool"`
	// Shards holds the allotments by shard. Zero allotments are left out.
	Shards map[string]int64 `json:"shards,omitempty"`
}

// resize sets the total. An increase is added to the pool. A decrease is taken
// from the pool first and then from all shards in proportion to their
// allotments, rounded by the largest remainder method.
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

// shrink takes units from the shards in proportion to their allotments.
func (l *limit) shrink(units int64) {
	if units == 0 {
		return
	}
	var sum int64
	for _, allotment := range l.Shards {
		sum += allotment
	}
	type shardRemainder struct {
		shard     string
		remainder uint64
	}
	remainders := make([]shardRemainder, 0, len(l.Shards))
	remaining := units
	for _, shard := range slices.Sorted(maps.Keys(l.Shards)) {
		hi, lo := bits.Mul64(uint64(l.Shards[shard]), uint64(units))
		share, remainder := bits.Div64(hi, lo, uint64(sum))
		remaining -= int64(share)
		l.add(shard, -int64(share))
		remainders = append(remainders, shardRemainder{shard, remainder})
	}
	slices.SortFunc(remainders, func(a, b shardRemainder) int {
		return cmp.Or(cmp.Compare(b.remainder, a.remainder), cmp.Compare(a.shard, b.shard))
	})
	// The remainders add up to remaining times sum and each is below sum, so the
	// loop reaches only shards with a remainder above zero, which have a unit left.
	for _, r := range remainders[:remaining] {
		l.add(r.shard, -1)
	}
}

// balanced reports whether the pool and the allotments add up to the total, and
// none of them is negative.
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

// add adds units, which may be negative, to the allotment of a shard.
func (l *limit) add(shard string, units int64) {
	if l.Shards == nil {
		l.Shards = map[string]int64{}
	}
	l.Shards[shard] += units
	if l.Shards[shard] == 0 {
		delete(l.Shards, shard)
	}
}
