package membership

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

const (
	// targetFollowers is the number of nodes that follow the work topic. Lost
	// followers are replaced only when fewer than minFollowers are left, since a node
	// that restarts soon need not be replaced.
	targetFollowers = 8
	minFollowers    = targetFollowers / 2
	// discoveryDelay gives nodes that start together time to discover each other.
	discoveryDelay = 600 * time.Millisecond
	// staggerDelay is the time between the nodes that start to follow in place of
	// lost followers, so that they do not all start at once.
	staggerDelay = 200 * time.Millisecond
)

// FollowPolicy decides when a node starts to follow the work topic. A node that
// follows does so until its process ends.
type FollowPolicy struct {
	Self Node
	// Restarted is set if the first read of the nodes topic holds a record of an
	// earlier process of this node. The other nodes are known then, and the initial
	// discoveryDelay is skipped.
	Restarted bool
	// selfSeenAt is when this node first saw its own record. shortageSince is when
	// the number of followers fell below minFollowers; zero while it is not below.
	selfSeenAt, shortageSince time.Duration
}

// ShouldFollow reports whether the node should start to follow now. alive are the
// live nodes, as returned by Table.Alive.
func (p *FollowPolicy) ShouldFollow(now time.Duration, alive []Node) bool {
	if !slices.ContainsFunc(alive, func(n Node) bool { return n.Name == p.Self.Name }) {
		return false
	}
	if p.selfSeenAt == 0 {
		p.selfSeenAt = now
	}
	if !p.Restarted && now < p.selfSeenAt+discoveryDelay {
		return false
	}
	if followRank(p.Self, alive) < targetFollowers {
		return true
	}
	var followers int
	var nonFollowers []Node
	for _, n := range alive {
		if n.Follows {
			followers++
		} else {
			nonFollowers = append(nonFollowers, n)
		}
	}
	if followers >= minFollowers {
		p.shortageSince = 0
		return false
	}
	if p.shortageSince == 0 {
		p.shortageSince = now
	}
	return now >= p.shortageSince+discoveryDelay+time.Duration(followRank(p.Self, nonFollowers))*staggerDelay
}

// followRank returns the position of a node among others, from 0. Nodes with more
// cores come first; ties are broken by a hash of the names.
func followRank(self Node, others []Node) (position int) {
	for _, n := range others {
		if n.Name != self.Name && ranksBefore(n, self) {
			position++
		}
	}
	return position
}

func ranksBefore(a, b Node) bool {
	c := cmp.Compare(b.Cores, a.Cores)
	if c == 0 {
		c = cmp.Compare(nameHash(a.Name), nameHash(b.Name))
	}
	if c == 0 {
		c = cmp.Compare(a.Name, b.Name)
	}
	return c < 0
}

func nameHash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // Write of a hash never returns an error
	return h.Sum64()
}
