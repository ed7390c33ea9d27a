package membership

import (
	"slices"
	"strings"
	"time"

	peerv1 "github.com/medlarpulley/medlarpulley/proto/peer/v1"
)

// Tracker keeps the state that peers have reported to this node, and detects
// peers that have failed.
type Tracker struct {
	self    Peer
	started time.Duration
	peers   []peer
	// nextPeer is the index in peers of the next one to ask.
	nextPeer       int
	lastExchangeID uint64
	lastAskedAt    time.Duration
	hasAsked       bool

	readOffset, revision uint64
	logReadAt            time.Duration
	hasReadLog           bool
	outageUntil          time.Duration
	highestRevision      uint64
	caughtUp             bool

	actions []Action
}

// New returns a Tracker without peers.
func New(self Peer, now time.Duration) *Tracker { return &Tracker{self: self, started: now} }

// Handle processes one event and returns the actions to perform, in order.
func (t *Tracker) Handle(now time.Duration, e Event) []Action {
	t.actions = nil
	switch e := e.(type) {
	case PeersChanged:
		t.setPeers(now, e.Peers)
	case ExchangeAnswered:
		t.handleAnswer(now, e)
	case ExchangeFailed:
		t.handleFailure(e)
	case RequestReceived:
		t.applyReport(e.Request.GetNode(), e.Request)
	case LogRead:
		t.readOffset, t.revision = max(t.readOffset, e.ReadOffset), max(t.revision, e.Revision)
		t.highestRevision = max(t.highestRevision, t.revision)
		t.logReadAt, t.hasReadLog = now, true
	case OutageConfirmed:
		t.outageUntil = max(t.outageUntil, e.Until)
	}
	t.startExchanges(now)
	t.updateStatuses(now)
	t.updateCaughtUp(now)
	return t.actions
}

func (t *Tracker) setPeers(now time.Duration, known []Peer) {
	known = slices.SortedFunc(slices.Values(known), func(x, y Peer) int { return strings.Compare(x.Node, y.Node) })
	var peers []peer
	for _, k := range known {
		if k.Node == t.self.Node || len(peers) == maxPeers {
			continue
		}
		p := peer{View: View{Peer: k}, trackedSince: now}
		if old := t.findPeer(k.Node); old != nil && old.Incarnation >= k.Incarnation {
			p = *old
		}
		peers = append(peers, p)
	}
	t.peers = peers
	if len(peers) > 0 {
		t.nextPeer %= len(peers)
	}
}

func (t *Tracker) findPeer(node string) *peer {
	for i := range t.peers {
		if t.peers[i].Node == node {
			return &t.peers[i]
		}
	}
	return nil
}

// startExchanges starts the exchanges of one interval, round-robin over the
// peers. A late tick does not make up for missed intervals.
func (t *Tracker) startExchanges(now time.Duration) {
	if t.hasAsked && now-t.lastAskedAt < ExchangeInterval || len(t.peers) == 0 {
		return
	}
	t.lastAskedAt, t.hasAsked = now, true
	// The peers are spread evenly over the intervals of a cycle: 7 peers are
	// asked 4 and 3 at a time.
	n := len(t.peers)
	intervals := int(cycleTime(n) / ExchangeInterval)
	for range min((n+intervals-1)/intervals, ExchangesPerInterval) {
		p := &t.peers[t.nextPeer]
		t.nextPeer = (t.nextPeer + 1) % n
		if p.pendingID != 0 {
			p.failures++
		}
		t.lastExchangeID++
		p.pendingID, p.sentAt = t.lastExchangeID, now
		t.actions = append(t.actions, Exchange{To: p.Node, ID: t.lastExchangeID, NewConnection: p.Status != Alive || p.failures > 0})
	}
}

func (t *Tracker) handleAnswer(now time.Duration, e ExchangeAnswered) {
	p := t.findPeer(e.To)
	if p == nil || e.ID != p.pendingID || e.Response.GetNode() != e.To {
		return
	}
	p.pendingID = 0
	if !t.applyReport(e.To, e.Response) {
		return
	}
	p.failures, p.HasAnswered, p.AnsweredRequestSentAt = 0, true, p.sentAt
	p.LogReachable = e.Response.GetLogReachable()
	p.PublicationOpen = e.Response.GetPublicationOpen()
	p.LogContactAge = time.Duration(e.Response.GetLogContactAgeMillis()) * time.Millisecond
	t.setStatus(p, Alive)
}

func (t *Tracker) handleFailure(e ExchangeFailed) {
	p := t.findPeer(e.To)
	if p == nil || e.ID != p.pendingID {
		return
	}
	p.pendingID = 0
	p.failures++
	if p.failures >= suspectAfterFailures && p.Status == Alive {
		t.setStatus(p, Suspect)
	}
}

// peerReport is the part that requests and answers of an exchange have in
// common.
type peerReport interface {
	GetIncarnation() uint64
	GetReadOffset() uint64
	GetRevision() uint64
	GetDraining() bool
	GetShards() []*peerv1.ShardSummary
}

// applyReport updates the state of a peer from its report. It returns false, and
// changes nothing, if the report is from an earlier incarnation or an untracked
// peer. Offsets and revisions of one incarnation only increase, so messages that
// arrive out of order do not lower them.
func (t *Tracker) applyReport(node string, e peerReport) bool {
	p := t.findPeer(node)
	if p == nil || e.GetIncarnation() < p.Incarnation {
		return false
	}
	if e.GetIncarnation() > p.Incarnation {
		status, pending, sentAt, since := p.Status, p.pendingID, p.sentAt, p.trackedSince
		*p = peer{View: View{Peer: Peer{node, e.GetIncarnation()}, Status: status}, pendingID: pending, sentAt: sentAt, trackedSince: since}
	}
	t.highestRevision = max(t.highestRevision, e.GetRevision())
	if e.GetReadOffset() < p.ReadOffset {
		return true
	}
	p.ReadOffset, p.Revision = e.GetReadOffset(), max(p.Revision, e.GetRevision())
	p.Draining = p.Draining || e.GetDraining()
	p.Shards = e.GetShards()[:min(len(e.GetShards()), maxShardSummaries)]
	return true
}

// updateStatuses marks peers that have not answered in time as suspect or
// unreachable.
func (t *Tracker) updateStatuses(now time.Duration) {
	c := cycleTime(len(t.peers))
	for i := range t.peers {
		p := &t.peers[i]
		lastAnswer := p.trackedSince
		if p.HasAnswered {
			lastAnswer = max(lastAnswer, p.AnsweredRequestSentAt)
		}
		switch sinceAnswer := now - lastAnswer; {
		case sinceAnswer > unreachableAfterCycles*c:
			t.setStatus(p, Unreachable)
		case sinceAnswer > suspectAfterCycles*c && p.Status == Alive:
			t.setStatus(p, Suspect)
		}
	}
}

func (t *Tracker) setStatus(p *peer, s Status) {
	if p.Status != s {
		p.Status = s
		t.actions = append(t.actions, StatusChanged{p.Node, s})
	}
}
