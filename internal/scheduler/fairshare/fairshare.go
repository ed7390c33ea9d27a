// Package fairshare computes the weighted fair shares of teams by their dominant
// resource. It holds no state.
package fairshare

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// FullShare is the share of 100 %, in parts per million.
const FullShare = 1_000_000

// DominantShare returns the dominant share: the largest share of total over all
// resources of used, in parts per million.
func DominantShare(used, total resource.Vector) int64 {
	var part int64
	for i := range resource.Dimensions {
		if total.At(i) > 0 {
			part = max(part, used.At(i)*FullShare/total.At(i))
		}
	}
	return part
}

// EntitledShares returns the weighted max-min fair share of each team, in parts
// per million. What a team does not demand of its share is divided among the
// others.
func EntitledShares(weights, demands []int64) []int64 {
	shares := make([]int64, len(weights))
	unsatisfied := make([]bool, len(weights))
	for i := range unsatisfied {
		unsatisfied[i] = weights[i] > 0 && demands[i] > 0
	}
	for remaining := int64(FullShare); ; {
		sum := int64(0)
		for i := range unsatisfied {
			if unsatisfied[i] {
				sum += weights[i]
			}
		}
		if sum == 0 {
			return shares
		}
		satisfied, newRemaining := false, remaining
		for i := range unsatisfied {
			if part := remaining * weights[i] / sum; unsatisfied[i] && demands[i] <= part {
				shares[i], unsatisfied[i], satisfied = demands[i], false, true
				newRemaining -= demands[i]
			}
		}
		if !satisfied {
			for i := range unsatisfied {
				if unsatisfied[i] {
					shares[i] = remaining * weights[i] / sum
				}
			}
			return shares
		}
		remaining = newRemaining
	}
}

// SortKey returns the sort key of a team with waiting work; the lowest is served
// first. ratio is the team's used share divided by its weighted share, in parts
// per million. shareWeight, from 0 to 100, weighs the ratio against the age of the
// waiting work. At 50, an age of maxWait balances a ratio of one.
func SortKey(shareWeight int, ratio int64, age, maxWait time.Duration) int64 {
	aged := int64(age/time.Millisecond) * FullShare / max(int64(maxWait/time.Millisecond), 1)
	return int64(shareWeight)*ratio - int64(100-shareWeight)*aged
}
