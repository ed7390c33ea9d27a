package node

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/membership"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
)

const (
	// silence is how long the owner may write nothing before it counts as gone.
	// Its heartbeats come every 400 ms.
	silence = 1200 * time.Millisecond
	// rankStep is the time between the claims of successive candidates when the
	// owner is silent, and freeStep when nobody owns the cell for certain.
	rankStep = 250 * time.Millisecond
	freeStep = 120 * time.Millisecond
	// firstStart is the time in which the nodes of a new cell become known to
	// each other.
	firstStart = 800 * time.Millisecond
	// evidence is how old the last read may be when the owner is called silent.
	evidence = 600 * time.Millisecond
)

// election decides when this node claims the ownership. It reads no clock.
type election struct {
	self membership.Node
	// beats and beatAt follow the records of the owner.
	beats  int64
	beatAt time.Duration
	// freeAt is when the ownership was first seen to be free; zero if it is not.
	freeAt time.Duration
	// retryAt holds back the next claim after a failed one.
	retryAt time.Duration
}

// view is what the election decides on.
type view struct {
	owner registry.Owner
	beats int64
	// nodes are all that are known, followers those that can own the cell.
	nodes     map[string]membership.Node
	followers []membership.Node
	// asOf is a time such that all earlier records have been read.
	asOf time.Duration
	// yielded is the token of an owner that told it cannot go on.
	yielded int64
	// ended is the boot of an owner whose process is known to have ended.
	ended string
}

// due reports whether to claim now.
func (e *election) due(now time.Duration, v view) bool {
	if v.beats != e.beats || e.beatAt == 0 {
		e.beats, e.beatAt = v.beats, now
	}
	if !v.free() {
		e.freeAt = 0
	} else if e.freeAt == 0 {
		e.freeAt = now
	}
	if now < e.retryAt || v.owner.Boot == e.self.Boot && !v.owner.Released {
		return false
	}
	rank := time.Duration(e.rank(v))
	if e.freeAt != 0 {
		first := time.Duration(0)
		if v.owner.Node == "" {
			first = firstStart
		}
		return now >= e.freeAt+first+rank*freeStep
	}
	return now >= e.beatAt+silence+rank*rankStep && v.asOf >= now-evidence
}

// free reports whether nobody owns the cell for certain: there was no owner,
// it has released the ownership, told that it cannot go on, or its process has
// ended or been replaced.
func (v view) free() bool {
	if v.owner.Node == "" || v.owner.Released || v.yielded != 0 && v.yielded == v.owner.Token || v.ended == v.owner.Boot {
		return true
	}
	n, ok := v.nodes[v.owner.Node]
	return ok && n.Boot != v.owner.Boot
}

// rank returns the place of this node among the candidates for the next term:
// the most powerful first, and among equals a different one each term.
func (e *election) rank(v view) int {
	power := map[string]float64{e.self.Name: e.self.Power}
	var names []string
	for _, n := range v.followers {
		power[n.Name] = n.Power
		if n.Name != v.owner.Node || n.Boot != v.owner.Boot {
			names = append(names, n.Name)
		}
	}
	if !slices.Contains(names, e.self.Name) {
		names = append(names, e.self.Name)
	}
	token := strconv.FormatInt(v.owner.Token+1, 10)
	slices.SortFunc(names, func(a, b string) int {
		if c := cmp.Compare(power[b], power[a]); c != 0 {
			return c
		}
		if c := cmp.Compare(order(token, a), order(token, b)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return slices.Index(names, e.self.Name)
}

func order(token, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(token + "/" + name)) // a hash never fails
	return h.Sum64()
}
