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
	// ownerSilenceTimeout is how long the owner may write no ownership or progress
	// record before it is considered failed. The owner writes a heartbeat every 400 ms.
	ownerSilenceTimeout = 1200 * time.Millisecond
	// The candidate of rank r delays its claim by r times one of these, so that
	// candidates do not claim at the same moment: silentOwnerRankDelay applies
	// when the owner has timed out, freeOwnershipRankDelay when it is certain that
	// nobody owns the cell.
	silentOwnerRankDelay   = 250 * time.Millisecond
	freeOwnershipRankDelay = 120 * time.Millisecond
	// firstClaimDelay gives the nodes of a new cell time to discover each other
	// before the first claim.
	firstClaimDelay = 800 * time.Millisecond
	// maxReadAge is the greatest age of the last read of the work topic at which
	// this node may conclude that the owner has timed out.
	maxReadAge = 600 * time.Millisecond
)

// election decides when this node claims the ownership. It reads no clock: the
// current time is an argument.
type election struct {
	self membership.Node
	// ownerWrites is the last seen number of ownership and progress records,
	// lastOwnerWriteAt when that number last changed.
	ownerWrites      int64
	lastOwnerWriteAt time.Duration
	// freeSince is when the ownership was first seen to be free; zero while it is
	// not free.
	freeSince time.Duration
	// nextClaimAt is the earliest time of the next claim after a claim was made.
	nextClaimAt time.Duration
}

// electionInput is the state of the cell, as this node sees it, that the
// election is decided on.
type electionInput struct {
	owner registry.Ownership
	// ownerWrites is the number of ownership and progress records read so far.
	ownerWrites int64
	// nodes are all nodes with a record, followers those that can own the cell.
	nodes     map[string]membership.Node
	followers []membership.Node
	// asOf is the time up to which the work topic has been read: every record
	// stored before asOf has been applied.
	asOf time.Duration
	// takeoverToken is the token of an owner that asked the others to take over,
	// since it cannot reach the store or is shutting down.
	takeoverToken int64
	// exitedOwnerInstance is the instance ID of an owner whose process is known to
	// have exited.
	exitedOwnerInstance string
}

// shouldClaim reports whether this node should claim the ownership now.
func (e *election) shouldClaim(now time.Duration, v electionInput) bool {
	if v.ownerWrites != e.ownerWrites || e.lastOwnerWriteAt == 0 {
		e.ownerWrites, e.lastOwnerWriteAt = v.ownerWrites, now
	}
	if !v.ownershipFree() {
		e.freeSince = 0
	} else if e.freeSince == 0 {
		e.freeSince = now
	}
	if now < e.nextClaimAt || v.owner.InstanceID == e.self.InstanceID && !v.owner.Released {
		return false
	}
	rank := time.Duration(e.rank(v))
	if e.freeSince != 0 {
		discovery := time.Duration(0)
		if v.owner.Node == "" {
			discovery = firstClaimDelay
		}
		return now >= e.freeSince+discovery+rank*freeOwnershipRankDelay
	}
	return now >= e.lastOwnerWriteAt+ownerSilenceTimeout+rank*silentOwnerRankDelay && v.asOf >= now-maxReadAge
}

// ownershipFree reports whether it is certain that nobody owns the cell: there
// was no owner, or the owner has released the ownership or asked the others to take
// over, or its process has exited or been replaced by a new one.
func (v electionInput) ownershipFree() bool {
	if v.owner.Node == "" || v.owner.Released || v.takeoverToken != 0 && v.takeoverToken == v.owner.Token || v.exitedOwnerInstance == v.owner.InstanceID {
		return true
	}
	n, ok := v.nodes[v.owner.Node]
	return ok && n.InstanceID != v.owner.InstanceID
}

// rank returns the position of this node among the candidates for the next term,
// from 0. Nodes with more cores come first; ties are broken by a hash that
// includes the token, so that each term prefers a different node.
func (e *election) rank(v electionInput) int {
	cores := map[string]float64{e.self.Name: e.self.Cores}
	var names []string
	for _, n := range v.followers {
		cores[n.Name] = n.Cores
		if n.Name != v.owner.Node || n.InstanceID != v.owner.InstanceID {
			names = append(names, n.Name)
		}
	}
	if !slices.Contains(names, e.self.Name) {
		names = append(names, e.self.Name)
	}
	token := strconv.FormatInt(v.owner.Token+1, 10)
	slices.SortFunc(names, func(a, b string) int {
		if c := cmp.Compare(cores[b], cores[a]); c != 0 {
			return c
		}
		if c := cmp.Compare(tieBreakHash(token, a), tieBreakHash(token, b)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return slices.Index(names, e.self.Name)
}

// tieBreakHash orders candidates with equally many cores.
func tieBreakHash(token, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(token + "/" + name)) // Write of a hash never returns an error
	return h.Sum64()
}
