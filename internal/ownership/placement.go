package ownership

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Candidate is a node that may own shards.
type Candidate struct {
	Node string
	Zone string
}

// PreferredOwners returns the preferred owner of every shard by bounded
// rendezvous hashing: the candidate of the shard's availability zone with the
// highest hash, or of any zone if there is none. It skips candidates that
// already have ceil(shards/candidates)+1 shards.
func PreferredOwners(shards []Shard, candidates []Candidate) map[string]string {
	if len(candidates) == 0 {
		return nil
	}
	bound := (len(shards)+len(candidates)-1)/len(candidates) + 1
	load := make(map[string]int, len(candidates))
	owners := make(map[string]string, len(shards))
	order := slices.SortedFunc(slices.Values(shards), func(x, y Shard) int { return strings.Compare(x.Name, y.Name) })
	for _, s := range order {
		best, bestLocal, bestScore := "", false, uint64(0)
		for _, c := range candidates {
			if load[c.Node] >= bound {
				continue
			}
			local, score := c.Zone == s.Zone, xxhash.Sum64String(s.Name+"\x00"+c.Node)
			if best == "" || local && !bestLocal || local == bestLocal && score > bestScore {
				best, bestLocal, bestScore = c.Node, local, score
			}
		}
		load[best]++
		owners[s.Name] = best
	}
	return owners
}
