package schedule

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a choice of the lowest hosts that differs from that of a full sort.
func TestLowestHostsAreTheFirstOfAFullSort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys := make(map[*host]int)
		var hosts []*host
		for _, k := range rapid.SliceOfN(rapid.IntRange(-3, 3), 0, 30).Draw(t, "keys") {
			h := &host{}
			keys[h] = k
			hosts = append(hosts, h)
		}
		n := rapid.IntRange(1, 30).Draw(t, "n")
		key := func(h *host) int { return keys[h] }
		want := slices.Clone(hosts)
		rankHosts(want, key)
		want = want[:min(n, len(want))]
		if got := lowestHosts(slices.Clone(hosts), n, key); !slices.Equal(got, want) {
			t.Errorf("lowestHosts returns other hosts than the first %d of a full sort", n)
		}
	})
}
