package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/acceptance"
	"github.com/medlarpulley/medlarpulley/internal/cell/registry"
	"github.com/medlarpulley/medlarpulley/internal/cell/worklog"
	"github.com/medlarpulley/medlarpulley/internal/logging"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
	"github.com/medlarpulley/medlarpulley/platform"
)

const (
	// electionInterval is the time between two checks whether to claim.
	electionInterval = 40 * time.Millisecond
	// claimTimeout limits the append of a claim.
	claimTimeout = 2 * time.Second
	// unresolvedClaimTimeout is how long this node makes no second claim of the same
	// token while the first one may have been stored.
	unresolvedClaimTimeout = 6 * time.Second
	// claimRetryDelay is the wait after a claim that failed, or lost to another
	// node's.
	claimRetryDelay = 300 * time.Millisecond
	// ownerAppender is the name of owners in the marks of their appends.
	ownerAppender = "owner"
	// maxFirstSequence limits the random sequence number at which a claim starts.
	maxFirstSequence = 1 << 30
)

// claim is an attempt of this node to become the owner of the cell.
type claim struct {
	owner   registry.Ownership
	journal *worklog.Journal
	sentAt  time.Duration
	// previous is the owner that the claim replaces.
	previous registry.Ownership
}

// runElections checks every electionInterval whether to claim the ownership,
// until ctx ends. It skips the check while this node has not read the work topic
// and the desired state, and during a shutdown.
func (n *Node) runElections(ctx context.Context) {
	e := &election{self: n.self}
	t := time.NewTicker(electionInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		asOf, ok := n.workReader.AsOf()
		if !ok || n.desired.Load() == nil || n.draining.Load() {
			continue
		}
		now := n.clock.Now()
		v := n.electionInput(now, asOf)
		n.probeOwner(ctx, v.owner, e.ownerSilentFor(now, v) >= ownerProbeSilence)
		if n.owner() == nil && e.shouldClaim(now, v) {
			n.tryClaim(ctx, v.owner, v.nextToken())
			e.nextClaimAt = n.clock.Now() + claimRetryDelay
		}
	}
}

// electionInput returns what the election is decided on. asOf is the time up to which
// the work topic has been read.
func (n *Node) electionInput(now, asOf time.Duration) electionInput {
	o, ownerWrites := n.registry.Owner()
	v := electionInput{
		owner: o, ownerWrites: ownerWrites, nodes: n.members.Nodes(), followers: n.followers(), asOf: asOf,
		takeoverToken: n.takeoverToken.Load(), exitedOwnerInstance: n.exitedOwner(), storeAnswerTime: n.storeMeter.AnswerTime(now),
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	v.takenToken, v.takenAt = n.taken.token, n.taken.at
	if n.ownerAnswer.token == o.Token {
		v.ownerActsAt = n.ownerAnswer.at
	}
	return v
}

// tryClaim appends a claim. The term begins only when the claim is read back,
// since the order of the log decides which of several claims wins.
func (n *Node) tryClaim(ctx context.Context, previous registry.Ownership, token int64) {
	log := logging.WithComponent(n.log, "election")
	firstSequence := 1 + rand.Int64N(maxFirstSequence)
	next := registry.Ownership{Node: n.self.Name, InstanceID: n.self.InstanceID, Token: token, FirstSequence: firstSequence}
	c := &claim{
		owner: next, previous: ownerBefore(token, previous), sentAt: n.clock.Now(),
		journal: worklog.NewJournal(n.workTarget("election", ownerAppender), next.Token, firstSequence, func() { n.requestTakeover(next.Token) }),
	}
	n.mu.Lock()
	if open := n.claim; open != nil && open.owner.Token == next.Token && c.sentAt < open.sentAt+unresolvedClaimTimeout {
		n.mu.Unlock()
		return // the log will show whether that claim was stored
	}
	n.claim = c
	n.mu.Unlock()
	log.Info("This node claims the ownership.", "token", next.Token, "former", previous.Node, "released", previous.Released)
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if err := c.journal.Claim(ctx, registry.OwnershipRecord(next)); err != nil {
		log.Info("The append of the claim failed.", "token", next.Token, "error", err)
		n.mu.Lock()
		if n.claim == c && verdict.Of(err) == verdict.DidNotRun {
			n.claim = nil
		}
		if tokenIsTaken(err) && next.Token > n.taken.token {
			n.taken = tokenAt{next.Token, n.clock.Now()}
		}
		n.mu.Unlock()
	}
}

// ownerBefore returns the owner before a claim of token, given the last one that was
// read. If the claim passes over another node's, that node may have acted, so nothing
// is known to be reconciled.
func ownerBefore(token int64, read registry.Ownership) registry.Ownership {
	if token == registry.NextToken(read.Token) {
		return read
	}
	return registry.Ownership{Node: "unknown", Token: token - 1}
}

// previousOwner returns the owner before a claim that has been read back. A process of a version
// that claims the token right after another one may have owned the cell between the last record
// that was read before the claim and the claim.
func (n *Node) previousOwner(c *claim) registry.Ownership {
	if former := n.registry.FormerToken(); former > c.previous.Token {
		return registry.Ownership{Node: "unknown", Token: former}
	}
	return c.previous
}

// requestTakeover asks the other nodes to take over, since the store has refused
// several appends of this node. At a slow store that concerns all nodes, and a new
// owner would fare no better.
func (n *Node) requestTakeover(token int64) {
	if acceptance.IsSlow(n.StoreAnswerTime()) {
		n.log.Warn("owner: The store is overloaded and refuses appends of the owner.", "token", token)
		return
	}
	n.pool.RequestTakeover(token)
}

// tokenIsTaken reports whether the store refused a claim since it knows another claim
// of the same or a higher token.
func tokenIsTaken(err error) bool {
	var sequence *platform.SequenceError
	return errors.Is(err, platform.ErrFenced) || errors.As(err, &sequence)
}
