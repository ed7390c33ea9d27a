package fairshare

import (
	"slices"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// TestEntitled guards against shares that ignore the weights, and against unused
// shares that are not divided among the other teams.
func TestEntitled(t *testing.T) {
	for _, c := range []struct {
		name                   string
		weights, demands, want []int64
	}{
		{"by weight", []int64{1, 3}, []int64{FullShare, FullShare}, []int64{250_000, 750_000}},
		{"unused share is divided among the others", []int64{1, 1, 2}, []int64{100_000, FullShare, FullShare}, []int64{100_000, 300_000, 600_000}},
		{"no demand", []int64{1, 1}, []int64{0, FullShare}, []int64{0, FullShare}},
		{"all satisfied", []int64{1, 1}, []int64{200_000, 300_000}, []int64{200_000, 300_000}},
	} {
		if got := EntitledShares(c.weights, c.demands); !slices.Equal(got, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// TestDominant guards against a share of another than the dominant resource.
func TestDominant(t *testing.T) {
	total := resource.Vector{MilliCPU: 1000, MemoryMiB: 1000, Accelerators: 4}
	if got := DominantShare(resource.Vector{MilliCPU: 100, MemoryMiB: 200, Accelerators: 1}, total); got != 250_000 {
		t.Errorf("got %d, want 250000", got)
	}
}

// TestOrder guards against a wrong order at both ends and in the middle of the
// range of shareWeight.
func TestOrder(t *testing.T) {
	const wait = time.Minute
	if SortKey(100, 10, wait, wait) >= SortKey(100, 20, 9*wait, wait) {
		t.Error("at 100 the team further below its share goes first")
	}
	if SortKey(0, 20, 2*wait, wait) >= SortKey(0, 10, wait, wait) {
		t.Error("at 0 the older job goes first")
	}
	if SortKey(50, FullShare, wait, wait) != 0 {
		t.Error("at 50 an age of MaxWait balances a ratio of one")
	}
}
