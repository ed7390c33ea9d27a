package membership

import (
	"slices"
	"strings"
	"time"

	peerv1 "github.com/medlarpulley/medlarpulley/proto/peer/v1"
)

// Tracker keeps what this node knows about its peers.
type Tracker struct {
	self    Peer
	started time.Duration
	peers   []peer
	// next is the position in peers of the next one to be asked.
	next    int
	id      uint64
	asked   time.Duration
	hasTick bool

	readOffset, revision uint64
	readAt               time.Duration
	hasRead              bool
	outageUntil          time.Duration
	highestRevision      uint64
	caughtUp             bool

	actions []Action
}

// New returns a Tracker without peers.
func New(self Peer, now time.Duration) *Tracker { return &Tracker{self: self, started: now} }

// Handle processes one event and returns what has to be done, in order.
func (t *Tracker) Handle(now time.Duration, e Event) []Action {
	t.actions = nil
	switch e := e.(type) {
	case PeersKnown:
		t.setPeers(now, e.Peers)
	case Answered:
		t.answered(now, e)
	case Failed:
		t.failed(e)
	case Asked:
		t.learn(e.Request.GetNode(), e.Request)
	case LogRead:
		t.readOffset, t.revision = max(t.readOffset, e.ReadOffset), max(t.revision, e.Revision)
		t.highestRevision = max(t.highestRevision, t.revision)
		t.readAt, t.hasRead = now, true
	case OutageConfirmed:
		t.outageUntil = max(t.outageUntil, e.Until)
	}
	t.ask(now)
	t.judge(now)
	t.catchUp(now)
	return t.actions
}

func (t *Tracker) setPeers(now time.Duration, known []Peer) {
	known = slices.SortedFunc(slices.Values(known), func(x, y Peer) int { return strings.Compare(x.Node, y.Node) })
	var peers []peer
	for _, k := range known {
		if k.Node == t.self.Node || len(peers) == maxPeers {
			continue
		}
		p := peer{View: View{Peer: k}, since: now}
		if old := t.find(k.Node); old != nil && old.Incarnation >= k.Incarnation {
			p = *old
		}
		peers = append(peers, p)
	}
	t.peers = peers
	if len(peers) > 0 {
		t.next %= len(peers)
	}
}

func (t *Tracker) find(node string) *peer {
	for i := range t.peers {
		if t.peers[i].Node == node {
			return &t.peers[i]
		}
	}
	return nil
}

// ask starts the exchanges of one interval, in turn. A late tick does not
// make up for missed intervals.
func (t *Tracker) ask(now time.Duration) {
	if t.hasTick && now-t.asked < Interval || len(t.peers) == 0 {
		return
	}
	t.asked, t.hasTick = now, true
	// An even spread over the cycle: 7 peers are asked 4 and 3 at a time.
	n := len(t.peers)
	intervals := int(cycle(n) / Interval)
	for range min((n+intervals-1)/intervals, PerInterval) {
		p := &t.peers[t.next]
		t.next = (t.next + 1) % n
		if p.pending != 0 {
			p.failures++
		}
		t.id++
		p.pending, p.sentAt = t.id, now
		t.actions = append(t.actions, Exchange{To: p.Node, ID: t.id, Fresh: p.Status != Alive || p.failures > 0})
	}
}

func (t *Tracker) answered(now time.Duration, e Answered) {
	p := t.find(e.To)
	if p == nil || e.ID != p.pending || e.Response.GetNode() != e.To {
		return
	}
	p.pending = 0
	if !t.learn(e.To, e.Response) {
		return
	}
	p.failures, p.Heard, p.HeardAt = 0, true, p.sentAt
	p.LogReachable = e.Response.GetLogReachable()
	p.PublicationOpen = e.Response.GetPublicationOpen()
	p.LogAge = time.Duration(e.Response.GetLogContactAgeMillis()) * time.Millisecond
	t.setStatus(p, Alive)
}

func (t *Tracker) failed(e Failed) {
	p := t.find(e.To)
	if p == nil || e.ID != p.pending {
		return
	}
	p.pending = 0
	p.failures++
	if p.failures >= suspectFailures && p.Status == Alive {
		t.setStatus(p, Suspect)
	}
}

// exchange is what a request and an answer have in common.
type exchange interface {
	GetIncarnation() uint64
	GetReadOffset() uint64
	GetRevision() uint64
	GetDraining() bool
	GetShards() []*peerv1.ShardSummary
}

// learn takes over what a peer says, unless an earlier incarnation says it.
// Offsets and revisions of one incarnation only rise, so messages that arrive
// out of order do not lower them.
func (t *Tracker) learn(node string, e exchange) bool {
	p := t.find(node)
	if p == nil || e.GetIncarnation() < p.Incarnation {
		return false
	}
	if e.GetIncarnation() > p.Incarnation {
		status, pending, sentAt, since := p.Status, p.pending, p.sentAt, p.since
		*p = peer{View: View{Peer: Peer{node, e.GetIncarnation()}, Status: status}, pending: pending, sentAt: sentAt, since: since}
	}
	t.highestRevision = max(t.highestRevision, e.GetRevision())
	if e.GetReadOffset() < p.ReadOffset {
		return true
	}
	p.ReadOffset, p.Revision = e.GetReadOffset(), max(p.Revision, e.GetRevision())
	p.Draining = p.Draining || e.GetDraining()
	p.Shards = e.GetShards()[:min(len(e.GetShards()), maxShards)]
	return true
}

// judge suspects the peers that have not answered.
func (t *Tracker) judge(now time.Duration) {
	c := cycle(len(t.peers))
	for i := range t.peers {
		p := &t.peers[i]
		last := p.since
		if p.Heard {
			last = max(last, p.HeardAt)
		}
		switch silent := now - last; {
		case silent > unreachableCycles*c:
			t.setStatus(p, Unreachable)
		case silent > suspectCycles*c && p.Status == Alive:
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
