package schedule

import (
	"cmp"
	"maps"
	"slices"
)

// rankHosts sorts hosts by a key, lowest first. It computes the key once for
// each host.
func rankHosts(hosts []*host, key func(h *host) int) {
	type ranked struct {
		h   *host
		key int
	}
	list := make([]ranked, len(hosts))
	for i, h := range hosts {
		list[i] = ranked{h, key(h)}
	}
	slices.SortStableFunc(list, func(a, b ranked) int { return cmp.Compare(a.key, b.key) })
	for i := range list {
		hosts[i] = list[i].h
	}
}

// lowestHosts returns the n hosts with the lowest keys, in the order of rankHosts. It
// sorts only these.
func lowestHosts(hosts []*host, n int, key func(h *host) int) []*host {
	if len(hosts) > n {
		hosts = withinLowest(hosts, n, key)
	}
	rankHosts(hosts, key)
	return hosts
}

// withinLowest returns the n hosts with the lowest keys in the given order; of those with
// the highest key among them the first ones.
func withinLowest(hosts []*host, n int, key func(h *host) int) []*host {
	keys := make([]int, len(hosts))
	count := make(map[int]int)
	for i, h := range hosts {
		keys[i] = key(h)
		count[keys[i]]++
	}
	highest, left := 0, n
	for _, k := range slices.Sorted(maps.Keys(count)) {
		highest = k
		if count[k] >= left {
			break
		}
		left -= count[k]
	}
	out := make([]*host, 0, n)
	for i, h := range hosts {
		if keys[i] == highest {
			left--
		}
		if keys[i] < highest || keys[i] == highest && left >= 0 {
			out = append(out, h)
		}
	}
	return out
}
