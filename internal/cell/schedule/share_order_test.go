package schedule

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
)

// compareShares compares entries that are sorted by rank and laxity.
func compareShares(a, b queueEntry) int {
	if a.rank != b.rank {
		return a.rank - b.rank
	}
	if a.excess != b.excess {
		if a.excess {
			return 1
		}
		return -1
	}
	return cmp.Compare(a.level, b.level)
}

// Guards against entries that are lost, or an order by shares that differs from that of a sort.
func TestShareOrderIsThatOfASort(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	var order shareOrder
	for range 300 {
		teams := make([]*team, 1+r.IntN(8))
		for i := range teams {
			teams[i] = &team{}
		}
		levels, excess := make([]float64, len(teams)), make([]bool, len(teams))
		var q []queueEntry
		for rank := range 3 {
			for range r.IntN(40) {
				k := r.IntN(len(teams))
				levels[k] += float64(r.IntN(3)) / 4
				excess[k] = excess[k] || r.IntN(6) == 0
				q = append(q, queueEntry{group: &group{job: &job{team: teams[k]}}, rank: rank, level: levels[k], excess: excess[k]})
			}
		}
		want := slices.Clone(q)
		slices.SortStableFunc(want, compareShares)
		order.sort(q)
		if !slices.Equal(q, want) {
			t.Fatalf("the order of %d entries of %d teams differs from that of a sort", len(q), len(teams))
		}
	}
}
