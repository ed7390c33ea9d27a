package schedule

import (
	"cmp"
	"slices"
)

// rankedHost is a host and the key that it is ranked by.
type rankedHost struct {
	host *host
	key  int
}

// rankHosts sorts hosts by a key, lowest first. It computes the key once for
// each host.
func rankHosts(hosts []*host, key func(h *host) int) {
	list := withKeys(hosts, key)
	sortRanked(list)
	for i := range list {
		hosts[i] = list[i].host
	}
}

// lowestHosts returns the n hosts with the lowest keys, in the order of rankHosts. It
// sorts only these, and uses the given slice for the result.
func lowestHosts(hosts []*host, n int, key func(h *host) int) []*host {
	if n <= 0 {
		return nil
	}
	list := withKeys(hosts, key)
	if len(list) > n {
		list = withinLowest(list, n)
	}
	sortRanked(list)
	for i := range list {
		hosts[i] = list[i].host
	}
	return hosts[:len(list)]
}

func withKeys(hosts []*host, key func(h *host) int) []rankedHost {
	list := make([]rankedHost, len(hosts))
	for i, h := range hosts {
		list[i] = rankedHost{h, key(h)}
	}
	return list
}

func sortRanked(list []rankedHost) {
	slices.SortStableFunc(list, func(a, b rankedHost) int { return cmp.Compare(a.key, b.key) })
}

// withinLowest returns the n hosts with the lowest keys in the given order, in the same slice;
// of those with the highest key among them the first ones.
func withinLowest(list []rankedHost, n int) []rankedHost {
	keys := make([]int, len(list))
	for i, r := range list {
		keys[i] = r.key
	}
	slices.Sort(keys)
	highest := keys[n-1]
	lower, _ := slices.BinarySearch(keys, highest)
	atHighest := n - lower
	out := list[:0]
	for _, r := range list {
		if r.key == highest {
			atHighest--
		}
		if r.key < highest || r.key == highest && atHighest >= 0 {
			out = append(out, r)
		}
	}
	return out
}
