package node

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/membership"
	"github.com/medlarpulley/medlarpulley/internal/cell/owner"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
)

const (
	// ownerSilenceTimeout is how long the owner may write no ownership or progress
	// record before it is considered failed. The owner writes a heartbeat every 400 ms.
	// actingOwnerTimeout applies instead if its process answers this node that it acts:
	// it may only be busy, and the change to another owner of many hosts takes longer
	// than such a pause.
	ownerSilenceTimeout = 1200 * time.Millisecond
	actingOwnerTimeout  = 2 * time.Second
	// slowStoreThreshold is the time of an answer of the store from which silence in the
	// log says little about the owner: its records may wait for the store.
	slowStoreThreshold = 100 * time.Millisecond
	// slowStoreFactor times the time of an answer is added to the time-outs and delays
	// at a slow store.
	slowStoreFactor = 3
	// ownerAnswerValidity is how long an answer of the owner shows that it acts.
	ownerAnswerValidity = 700 * time.Millisecond
	// takenTokenTimeout is how long a claim of another node that the store knows, but
	// that has not been read yet, is waited for. An append waits in the store for at
	// most 2 s.
	takenTokenTimeout = 3 * time.Second
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
	// storeAnswerTime is how long the store takes to answer this node at present.
	storeAnswerTime time.Duration
	// ownerActsAt is when the owner last answered this node that it acts; zero if it
	// has not.
	ownerActsAt time.Duration
	// takenToken is the highest token that the store refused to this node, since
	// another node had claimed it, and takenAt when it did.
	takenToken int64
	takenAt    time.Duration
	// exitedOwnerInstance is the instance ID of an owner whose process is known to
	// have exited.
	exitedOwnerInstance string
}

// ownerSilentFor returns for how long the owner has certainly written no record: what
// this node has not read yet is no silence.
func (e *election) ownerSilentFor(now time.Duration, v electionInput) time.Duration {
	if v.ownerWrites != e.ownerWrites || e.lastOwnerWriteAt == 0 {
		e.ownerWrites, e.lastOwnerWriteAt = v.ownerWrites, now
	}
	return max(v.asOf-e.lastOwnerWriteAt, 0)
}

// shouldClaim reports whether this node should claim the ownership now.
func (e *election) shouldClaim(now time.Duration, v electionInput) bool {
	silentFor := e.ownerSilentFor(now, v)
	if !v.ownershipFree() {
		e.freeSince = 0
	} else if e.freeSince == 0 {
		e.freeSince = now
	}
	if now < e.nextClaimAt || v.owner.InstanceID == e.self.InstanceID && !v.owner.Released {
		return false
	}
	if v.claimIsPending(now) {
		return false
	}
	rank := time.Duration(e.rank(v))
	if e.freeSince != 0 {
		discovery := time.Duration(0)
		if v.owner.Node == "" {
			discovery = firstClaimDelay
		}
		return now >= e.freeSince+discovery+rank*(freeOwnershipRankDelay+v.storeDelay())
	}
	if v.asOf < now-maxReadAge-v.storeDelay() {
		return false
	}
	return silentFor >= v.silenceTimeout(now)+rank*(silentOwnerRankDelay+v.storeDelay())
}

// storeDelay returns how much longer than usual a record may take from its writer to
// this node, since the store is slow.
func (v electionInput) storeDelay() time.Duration {
	if v.storeAnswerTime < slowStoreThreshold {
		return 0
	}
	return slowStoreFactor * v.storeAnswerTime
}

// silenceTimeout returns how long the owner may write no record. An owner that
// answers this node that it acts is not replaced while the store is slow: it stops
// acting by itself when the store has accepted none of its appends for
// owner.AuthorityDuration. At a fast store such an owner cannot reach the store.
func (v electionInput) silenceTimeout(now time.Duration) time.Duration {
	switch answered := v.ownerActsAt != 0 && now < v.ownerActsAt+ownerAnswerValidity; {
	case answered && v.storeDelay() > 0:
		return owner.AuthorityDuration + ownerSilenceTimeout + v.storeDelay()
	case answered:
		return actingOwnerTimeout
	default:
		return ownerSilenceTimeout + v.storeDelay()
	}
}

// claimIsPending reports whether another node's claim is known to the store, and may
// still be read. It is passed over once an append would certainly have been read.
func (v electionInput) claimIsPending(now time.Duration) bool {
	return v.takenToken > v.owner.Token && (now < v.takenAt+takenTokenTimeout+v.storeDelay() || v.asOf < v.takenAt+takenTokenTimeout)
}

// nextToken returns the token of the next claim. It is higher than that of a claim
// that is passed over, so that its claimer is fenced.
func (v electionInput) nextToken() int64 {
	return registry.NextToken(max(v.owner.Token, v.takenToken))
}

// ownershipFree reports whether it is certain that nobody owns the cell: there
// was no owner, or the owner has released the ownership or asked the others to take
// over, or its process has exited or been replaced by a new one.
func (v electionInput) ownershipFree() bool {
	if v.owner.Node == "" || v.owner.Released || v.takeoverToken != 0 && v.takeoverToken == v.owner.Token || v.exitedOwnerInstance == v.owner.InstanceID {
		return true
	}
	return v.nodes[v.owner.Node].HasReplaced(v.owner.InstanceID)
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
