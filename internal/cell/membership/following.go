package membership

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

const (
	// wanted is how many nodes follow the work topic, and enough is how many of
	// them may be left before others take their place: a node that starts again
	// soon need not be replaced.
	wanted = 8
	enough = wanted / 2
	// acquaintance is the time in which nodes that start together become known to
	// each other.
	acquaintance = 600 * time.Millisecond
	// step is the time between nodes that begin to follow in place of lost ones,
	// so that they do not all do so at once.
	step = 200 * time.Millisecond
)

// Following decides when a node begins to follow the work topic. It never ends
// before the process does.
type Following struct {
	Self Node
	// Returning is set if an earlier life of this node was known when it first
	// read of the others: they are known already.
	Returning bool
	// since is when this node first saw a record of itself, shortAt when followers
	// began to be too few; zero if they are not.
	since, shortAt time.Duration
}

// Due reports whether to begin now. alive are the nodes that are not gone.
func (f *Following) Due(now time.Duration, alive []Node) bool {
	if !slices.ContainsFunc(alive, func(n Node) bool { return n.Name == f.Self.Name }) {
		return false
	}
	if f.since == 0 {
		f.since = now
	}
	if !f.Returning && now < f.since+acquaintance {
		return false
	}
	if rank(f.Self, alive) < wanted {
		return true
	}
	var followers int
	var idle []Node
	for _, n := range alive {
		if n.Follows {
			followers++
		} else {
			idle = append(idle, n)
		}
	}
	if followers >= enough {
		f.shortAt = 0
		return false
	}
	if f.shortAt == 0 {
		f.shortAt = now
	}
	return now >= f.shortAt+acquaintance+time.Duration(rank(f.Self, idle))*step
}

// rank returns the place of a node among others: the most powerful first, and
// equals in an order drawn from their names.
func rank(self Node, others []Node) (r int) {
	for _, n := range others {
		if n.Name != self.Name && before(n, self) {
			r++
		}
	}
	return r
}

func before(a, b Node) bool {
	c := cmp.Compare(b.Power, a.Power)
	if c == 0 {
		c = cmp.Compare(order(a.Name), order(b.Name))
	}
	if c == 0 {
		c = cmp.Compare(a.Name, b.Name)
	}
	return c < 0
}

func order(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // a hash never fails
	return h.Sum64()
}
