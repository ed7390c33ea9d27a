package ownership

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"
)

// The model has 3 nodes, a shard, a log, 2 hosts and a queued task. All nodes
// read one clock, which advances by stepTime per step; a paused node processes
// no event in a step. Messages are delivered in any order or are lost.
const (
	modelNodes        = 3
	modelShard        = "a/0"
	stepTime          = 2 * time.Second
	taskLeaseDuration = 4 * time.Second
	messageLifetime   = 2 * stepTime
	maxMessages       = 6
)

type simMessage struct {
	to, replyTo int
	sent        time.Duration
	// event is sent to a node; if appended is set, it is a delayed append to the
	// log instead.
	event    Event
	appended Action
	id       Identity
}

type modelHost struct {
	token   uint64
	running bool
	until   time.Duration
}

type modelNode struct {
	m           *Manager
	incarnation uint64
	token       uint64
	fenced      [2]bool
	started     bool
}

type clusterModel struct {
	now           time.Duration
	stateMachine  *StateMachine
	nextOffset    uint64
	logReachable  [modelNodes]bool
	nodes         [modelNodes]modelNode
	messages      []simMessage
	hosts         [2]modelHost
	disabledRules disabledRules

	changes, restarts, pauses int
}

func nodeName(i int) string { return fmt.Sprintf("n%d", i) }

func (model *clusterModel) id(i int) Identity {
	return Identity{nodeName(i), model.nodes[i].incarnation}
}

func newClusterModel(f disabledRules) *clusterModel {
	model := &clusterModel{stateMachine: NewStateMachine(), nextOffset: 1, disabledRules: f, logReachable: [modelNodes]bool{true, true, true}}
	for i := range model.nodes {
		model.startNode(i)
	}
	return model
}

func (model *clusterModel) startNode(i int) {
	model.nodes[i] = modelNode{incarnation: model.nodes[i].incarnation + 1}
	model.nodes[i].m = New(Config{Self: model.id(i), Zone: "a", Nodes: modelNodes, Started: model.now})
	model.nodes[i].m.disabledRules = model.disabledRules
	model.send(i, ShardsChanged{[]Shard{{modelShard, "a"}}})
}

func (model *clusterModel) clone() *clusterModel {
	c := *model
	b := *model.stateMachine
	b.state = model.stateMachine.State()
	b.incarnations = maps.Clone(b.incarnations)
	c.stateMachine = &b
	c.messages = slices.Clone(model.messages)
	for i := range c.nodes {
		m := *model.nodes[i].m
		m.shardStates = maps.Clone(m.shardStates)
		c.nodes[i].m = &m
	}
	return &c
}

// appendRecord appends a record to the log and returns its offset.
func (model *clusterModel) appendRecord(id Identity, a Action) uint64 {
	offset := model.nextOffset
	model.nextOffset++
	switch a := a.(type) {
	case AppendRenewal:
		model.stateMachine.Renew(offset, id, a.ReadOffset)
	case AppendClaim:
		model.stateMachine.Claim(offset, id, a.Shard, a.Supersedes)
	case AppendRelease:
		model.stateMachine.Release(offset, id, a.Shard, a.Token, a.Successor)
	case AppendEvict:
		model.stateMachine.Evict(offset, id, a.Identity, a.LastRenewal)
	}
	model.stateMachine.SetReadOffset(model.nextOffset)
	return offset
}

func (model *clusterModel) send(i int, e Event) {
	for _, a := range model.nodes[i].m.Handle(model.now, e) {
		model.perform(i, a)
	}
}

// enqueue adds a message and drops the oldest beyond maxMessages.
func (model *clusterModel) enqueue(m simMessage) {
	m.sent = model.now
	model.messages = append(model.messages[max(0, len(model.messages)-maxMessages+1):], m)
}

func (model *clusterModel) perform(i int, a Action) {
	self := model.id(i)
	switch a := a.(type) {
	case AppendRenewal, AppendClaim, AppendRelease, AppendEvict:
		if !model.logReachable[i] {
			// A delayed renewal is not modelled: one that is appended without
			// its sender's knowledge only delays a takeover.
			if _, ok := a.(AppendRenewal); !ok {
				model.enqueue(simMessage{to: -1, appended: a, id: self})
			}
			return
		}
		offset := model.appendRecord(self, a)
		if _, ok := a.(AppendRenewal); ok {
			model.send(i, RenewalAccepted{model.now, offset})
		}
	case RequestConfirmations:
		for _, to := range a.To {
			if len(a.Shards) == 0 { // A confirmation would extend no token.
				break
			}
			model.enqueue(simMessage{to: nodeIndex(to), replyTo: i, event: ConfirmRequested{a.Round, self, a.Shards}})
		}
	case RequestAcks:
		for _, to := range a.To {
			model.enqueue(simMessage{to: nodeIndex(to), replyTo: i, event: AckRequested{a.Token, self.Node, a.ShardToken}})
		}
	case QuiesceShard:
		model.send(i, ShardQuiesced{a.ShardToken})
	}
}

func nodeIndex(node string) int { return int(node[1] - '0') }

// step advances the clock by stepTime and lets every node but the paused one
// process it.
func (model *clusterModel) step(paused int) {
	model.now += stepTime
	model.messages = slices.DeleteFunc(slices.Clone(model.messages), func(m simMessage) bool { return model.now-m.sent > messageLifetime })
	for i := range model.nodes {
		if i == paused {
			continue
		}
		if model.logReachable[i] {
			if model.stateMachine.incarnations[nodeName(i)] < model.nodes[i].incarnation {
				model.stateMachine.Join(model.nextOffset, model.id(i), "a")
				model.nextOffset++
				model.stateMachine.SetReadOffset(model.nextOffset)
			}
			model.send(i, LogContact{})
			model.send(i, LedgerRead{model.stateMachine.State()})
			model.send(i, Tick{})
			model.send(i, LedgerRead{model.stateMachine.State()})
		} else {
			model.send(i, AppendFailed{})
			model.send(i, Tick{})
		}
	}
}

func (model *clusterModel) deliver(k int) {
	m := model.messages[k]
	model.messages = slices.Delete(slices.Clone(model.messages), k, k+1)
	if m.appended != nil {
		model.appendRecord(m.id, m.appended)
		return
	}
	for _, a := range model.nodes[m.to].m.Handle(model.now, m.event) {
		switch a := a.(type) {
		case ConfirmReply:
			var e Event = OutageDenied{a.ID, nodeName(m.to), a.Superseded}
			if a.Confirmed {
				e = OutageConfirmed{a.ID, nodeName(m.to), a.Superseded}
			} else if len(a.Superseded) == 0 {
				continue // Such an answer changes nothing.
			}
			model.enqueue(simMessage{to: m.replyTo, event: e})
		case AckReply:
			if a.Acknowledged {
				model.enqueue(simMessage{to: m.replyTo, event: ClaimAcknowledged{nodeName(m.to), m.event.(AckRequested).ShardToken}})
			}
		default:
			model.perform(m.to, a)
		}
	}
}

// hostReachable reports whether a node can reach a host. The last node cannot
// reach the second host.
func hostReachable(node, host int) bool { return node != modelNodes-1 || host != 1 }

// startTask lets a node with authority fence the hosts that it can reach and
// start the queued task, on the second host if it can. A node that took over
// waits until all hosts are fenced and idle, or until the earlier leases have
// expired.
func (model *clusterModel) startTask(i int) bool {
	n := &model.nodes[i]
	token, _, ok := n.m.Authority(modelShard, model.now)
	if !ok || n.started && n.token == token {
		return false
	}
	if n.token != token {
		*n = modelNode{m: n.m, incarnation: n.incarnation, token: token}
	}
	idle := true
	for h := range model.hosts {
		host := &model.hosts[h]
		if !hostReachable(i, h) {
			continue
		}
		if token < host.token {
			return false
		}
		host.token, n.fenced[h] = token, true
		idle = idle && (!host.running || model.now >= host.until)
	}
	over, _ := n.m.EarlierAuthorityEndedAt(modelShard)
	if !idle || n.fenced != [2]bool{true, true} && len(model.stateMachine.state.Holdings[modelShard].Previous) > 0 &&
		model.now < over+WithClockMargin(taskLeaseDuration) {
		return true
	}
	target := &model.hosts[0]
	if hostReachable(i, 1) {
		target = &model.hosts[1]
	}
	target.running, target.until = true, model.now+taskLeaseDuration
	n.started = true
	return true
}

// violation describes a violated invariant; it is empty if there is none.
func (model *clusterModel) violation() string {
	owner := -1
	for i := range model.nodes {
		if _, _, ok := model.nodes[i].m.Authority(modelShard, model.now); ok {
			if owner >= 0 {
				return fmt.Sprintf("n%d and n%d have authority at %v", owner, i, model.now)
			}
			owner = i
		}
	}
	if model.hosts[0].running && model.hosts[1].running && model.now < model.hosts[0].until && model.now < model.hosts[1].until {
		return "the task runs on both hosts"
	}
	return ""
}

// stateKey encodes all state that can affect later steps.
func (model *clusterModel) stateKey() string {
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
	t(model.now)
	num(model.nextOffset, uint64(model.changes), uint64(model.restarts), uint64(model.pauses))
	flag(model.logReachable[:]...)
	b = fmt.Append(b, model.stateMachine.state.Members, model.stateMachine.state.Sets, model.stateMachine.state.Holdings, model.hosts, model.messages)
	for _, n := range model.nodes {
		m := n.m
		num(n.incarnation, n.token, m.state.ReadOffset, m.lastRoundID)
		flag(n.started, n.fenced[0], n.fenced[1], m.hasRenewal, m.hasContact, m.appendFailing, m.hasPromised)
		t(m.outageConfirmedUntil, m.logAuthorityUntil, m.renewalSentAt, m.lastRenewAttempt, m.lastContact, m.contactSince, m.promiseUntil)
		r := m.shardStates[modelShard]
		num(uint64(r.phase), r.token)
		flag(r.started, r.superseded, r.claimable, r.attempted)
		t(r.outageUntil, r.heldSince, r.transferAfter, r.claimableSince, r.lastAttempt)
		b = fmt.Append(b, r.acks, m.unreadRenewals, m.rounds, m.transferring, m.transferStartedAt, m.observations)
	}
	return string(b)
}
