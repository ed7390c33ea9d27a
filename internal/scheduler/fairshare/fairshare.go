// Package fairshare computes weighted shares of the dominant resource.
package fairshare

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// One is a share of 100 %, in parts per million.
const One = 1_000_000

// Dominant returns the largest part of total that used takes, in parts per
// million.
func Dominant(used, total resource.Vector) int64 {
	var part int64
	for i := range resource.Dimensions {
		if total.At(i) > 0 {
			part = max(part, used.At(i)*One/total.At(i))
		}
	}
	return part
}

// Entitled returns the weighted max-min share of each demand, in parts per
// million. A team that wants less than its part leaves the rest to the others.
func Entitled(weights, demands []int64) []int64 {
	shares := make([]int64, len(weights))
	open := make([]bool, len(weights))
	for i := range open {
		open[i] = weights[i] > 0 && demands[i] > 0
	}
	for left := int64(One); ; {
		sum := int64(0)
		for i := range open {
			if open[i] {
				sum += weights[i]
			}
		}
		if sum == 0 {
			return shares
		}
		satisfied, rest := false, left
		for i := range open {
			if part := left * weights[i] / sum; open[i] && demands[i] <= part {
				shares[i], open[i], satisfied = demands[i], false, true
				rest -= demands[i]
			}
		}
		if !satisfied {
			for i := range open {
				if open[i] {
					shares[i] = left * weights[i] / sum
				}
			}
			return shares
		}
		left = rest
	}
}

// Order returns the rank of a team with waiting work; the lowest goes first.
// The ratio is the team's share over its weighted part, in parts per million.
// An age of maxWait balances a ratio of one at a shareWeight of 50.
func Order(shareWeight int, ratio int64, age, maxWait time.Duration) int64 {
	aged := int64(age/time.Millisecond) * One / max(int64(maxWait/time.Millisecond), 1)
	return int64(shareWeight)*ratio - int64(100-shareWeight)*aged
}
