package ownership

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"
)

// The model has 3 nodes, a shard, a log, 2 hosts and a queued task. All nodes read one clock that moves by stepTime; a paused node handles
// nothing in a step. A message is delivered in any order, or is lost.
const (
	modelNodes  = 3
	modelShard  = "a/0"
	stepTime    = 2 * time.Second
	modelLease  = 4 * time.Second
	messageLife = 2 * stepTime
	maxMessages = 6
)

type message struct {
	to, replyTo int
	sent        time.Duration
	// event is for the node, or for the log if land is set.
	event Event
	land  Action
	id    Identity
}

type modelHost struct {
	token   uint64
	running bool
	until   time.Duration
}

type modelNode struct {
	m       *Manager
	inc     uint64
	token   uint64
	fenced  [2]bool
	started bool
}

type world struct {
	now      time.Duration
	book     *Book
	next     uint64
	up       [modelNodes]bool
	nodes    [modelNodes]modelNode
	messages []message
	hosts    [2]modelHost
	faults   faults

	changes, restarts, pauses int
}

func name(i int) string { return fmt.Sprintf("n%d", i) }

func (w *world) id(i int) Identity { return Identity{name(i), w.nodes[i].inc} }

func newWorld(f faults) *world {
	w := &world{book: NewBook(), next: 1, faults: f, up: [modelNodes]bool{true, true, true}}
	for i := range w.nodes {
		w.boot(i)
	}
	return w
}

func (w *world) boot(i int) {
	w.nodes[i] = modelNode{inc: w.nodes[i].inc + 1}
	w.nodes[i].m = New(Config{Self: w.id(i), Zone: "a", Nodes: modelNodes, Started: w.now})
	w.nodes[i].m.faults = w.faults
	w.send(i, ShardsKnown{[]Shard{{modelShard, "a"}}})
}

func (w *world) clone() *world {
	c := *w
	b := *w.book
	b.state = w.book.State()
	b.incarnations = maps.Clone(b.incarnations)
	c.book = &b
	c.messages = slices.Clone(w.messages)
	for i := range c.nodes {
		m := *w.nodes[i].m
		m.records = maps.Clone(m.records)
		c.nodes[i].m = &m
	}
	return &c
}

// land appends a record and returns its offset.
func (w *world) land(id Identity, a Action) uint64 {
	offset := w.next
	w.next++
	switch a := a.(type) {
	case AppendRenewal:
		w.book.Renew(offset, id, a.ReadOffset)
	case AppendClaim:
		w.book.Claim(offset, id, a.Shard, a.Supersedes)
	case AppendRelease:
		w.book.Release(offset, id, a.Shard, a.Token, a.Successor)
	case AppendEvict:
		w.book.Evict(offset, id, a.Identity, a.LastRenewal)
	}
	w.book.Read(w.next)
	return offset
}

func (w *world) send(i int, e Event) {
	for _, a := range w.nodes[i].m.Handle(w.now, e) {
		w.do(i, a)
	}
}

func (w *world) post(m message) {
	m.sent = w.now
	w.messages = append(w.messages[max(0, len(w.messages)-maxMessages+1):], m)
}

func (w *world) do(i int, a Action) {
	self := w.id(i)
	switch a := a.(type) {
	case AppendRenewal, AppendClaim, AppendRelease, AppendEvict:
		if !w.up[i] {
			// A renewal that lands unknown to its sender only delays a takeover.
			if _, ok := a.(AppendRenewal); !ok {
				w.post(message{to: -1, land: a, id: self})
			}
			return
		}
		offset := w.land(self, a)
		if _, ok := a.(AppendRenewal); ok {
			w.send(i, RenewalAccepted{w.now, offset})
		}
	case AskOutage:
		for _, to := range a.To {
			if len(a.Shards) == 0 { // It extends no token.
				break
			}
			w.post(message{to: index(to), replyTo: i, event: ConfirmRequested{a.Round, self, a.Shards}})
		}
	case AskAck:
		for _, to := range a.To {
			w.post(message{to: index(to), replyTo: i, event: AckRequested{a.Token, self.Node, a.ShardToken}})
		}
	case HandOver:
		w.send(i, HandedOver{a.ShardToken})
	}
}

func index(node string) int { return int(node[1] - '0') }

// step lets time pass for every node but the paused one.
func (w *world) step(paused int) {
	w.now += stepTime
	w.messages = slices.DeleteFunc(slices.Clone(w.messages), func(m message) bool { return w.now-m.sent > messageLife })
	for i := range w.nodes {
		if i == paused {
			continue
		}
		if w.up[i] {
			if w.book.incarnations[name(i)] < w.nodes[i].inc {
				w.book.Join(w.next, w.id(i), "a")
				w.next++
				w.book.Read(w.next)
			}
			w.send(i, LogContact{})
			w.send(i, LedgerRead{w.book.State()})
			w.send(i, Tick{})
			w.send(i, LedgerRead{w.book.State()})
		} else {
			w.send(i, AppendFailed{})
			w.send(i, Tick{})
		}
	}
}

func (w *world) deliver(k int) {
	m := w.messages[k]
	w.messages = slices.Delete(slices.Clone(w.messages), k, k+1)
	if m.land != nil {
		w.land(m.id, m.land)
		return
	}
	for _, a := range w.nodes[m.to].m.Handle(w.now, m.event) {
		switch a := a.(type) {
		case ConfirmReply:
			var e Event = OutageDenied{a.ID, name(m.to), a.Superseded}
			if a.Confirmed {
				e = OutageConfirmed{a.ID, name(m.to), a.Superseded}
			} else if len(a.Superseded) == 0 {
				continue // Such an answer changes nothing.
			}
			w.post(message{to: m.replyTo, event: e})
		case AckReply:
			if a.Acknowledged {
				w.post(message{to: m.replyTo, event: ClaimAcknowledged{name(m.to), m.event.(AckRequested).ShardToken}})
			}
		default:
			w.do(m.to, a)
		}
	}
}

// reaches cuts the last node off from the second host.
func reaches(node, host int) bool { return node != modelNodes-1 || host != 1 }

// start lets a node that acts fence the hosts that it reaches and start the
// queued task, on the second host if it can. A node that took over waits until
// all hosts are fenced and idle, or until the old leases have run down.
func (w *world) start(i int) bool {
	n := &w.nodes[i]
	token, _, ok := n.m.Authority(modelShard, w.now)
	if !ok || n.started && n.token == token {
		return false
	}
	if n.token != token {
		*n = modelNode{m: n.m, inc: n.inc, token: token}
	}
	idle := true
	for h := range w.hosts {
		host := &w.hosts[h]
		if !reaches(i, h) {
			continue
		}
		if token < host.token {
			return false
		}
		host.token, n.fenced[h] = token, true
		idle = idle && (!host.running || w.now >= host.until)
	}
	over, _ := n.m.OldAuthorityOver(modelShard)
	if !idle || n.fenced != [2]bool{true, true} && len(w.book.state.Holdings[modelShard].Previous) > 0 &&
		w.now < over+WithAllowance(modelLease) {
		return true
	}
	target := &w.hosts[0]
	if reaches(i, 1) {
		target = &w.hosts[1]
	}
	target.running, target.until = true, w.now+modelLease
	n.started = true
	return true
}

// broken names a violated invariant.
func (w *world) broken() string {
	owner := -1
	for i := range w.nodes {
		if _, _, ok := w.nodes[i].m.Authority(modelShard, w.now); ok {
			if owner >= 0 {
				return fmt.Sprintf("n%d and n%d have authority at %v", owner, i, w.now)
			}
			owner = i
		}
	}
	if w.hosts[0].running && w.hosts[1].running && w.now < w.hosts[0].until && w.now < w.hosts[1].until {
		return "the task runs on both hosts"
	}
	return ""
}

// key encodes everything that can change the future.
func (w *world) key() string {
	var b []byte
	num := func(vs ...uint64) {
		for _, v := range vs {
			b = binary.AppendUvarint(b, v)
		}
	}
	flag := func(vs ...bool) {
		for _, v := range vs {
			b = strconv.AppendBool(b, v)
		}
	}
	t := func(vs ...time.Duration) {
		for _, v := range vs {
			num(uint64(v))
		}
	}
	t(w.now)
	num(w.next, uint64(w.changes), uint64(w.restarts), uint64(w.pauses))
	flag(w.up[:]...)
	b = fmt.Append(b, w.book.state.Members, w.book.state.Sets, w.book.state.Holdings, w.hosts, w.messages)
	for _, n := range w.nodes {
		m := n.m
		num(n.inc, n.token, m.state.ReadOffset, m.round)
		flag(n.started, n.fenced[0], n.fenced[1], m.hasLog, m.hasContact, m.failing, m.promised)
		t(m.outageUntil, m.logUntil, m.renewedAt, m.tried, m.contact, m.contactSince, m.promise)
		r := m.records[modelShard]
		num(uint64(r.phase), r.token)
		flag(r.acting, r.superseded, r.free, r.attempted)
		t(r.outageUntil, r.established, r.claimable, r.tried)
		b = fmt.Append(b, r.acks, m.unread, m.rounds, m.moving, m.movedAt, m.seen)
	}
	return string(b)
}
