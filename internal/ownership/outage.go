package ownership

import (
	"slices"
	"time"
)

// handlePeer handles what peers ask and answer.
func (m *Manager) handlePeer(now time.Duration, e Event) {
	switch e := e.(type) {
	case ConfirmRequested:
		m.emit(m.confirm(now, e))
	case AckRequested:
		m.emit(m.acknowledge(now, e))
	case OutageConfirmed:
		m.supersede(e.Superseded)
		m.confirmed(e)
	case OutageDenied:
		m.supersede(e.Superseded)
	case ClaimAcknowledged:
		m.acknowledged(e)
	}
}

// confirm answers a peer that asks for the confirmation of an outage.
func (m *Manager) confirm(now time.Duration, e ConfirmRequested) ConfirmReply {
	reply := ConfirmReply{ID: e.ID}
	for _, t := range e.Shards {
		h := m.state.Holdings[t.Shard]
		if h.Token > t.Token || h.Token == t.Token && (h.Released || h.Owner != e.From) {
			reply.Superseded = append(reply.Superseded, ShardToken{t.Shard, h.Token})
		}
	}
	member, known := m.state.member(e.From.Node)
	switch {
	case !m.joined():
		// Without its own Join a process may not have read a claim that an
		// earlier incarnation acknowledged.
		reply.Reason = "this node has not read its own join"
	case known && member.Incarnation > e.From.Incarnation:
		reply.Reason = "a later incarnation has joined"
	case !m.logAway(now):
		reply.Reason = "the log answers"
	case len(e.Shards) > 0 && len(reply.Superseded) == len(e.Shards):
		reply.Reason = "all tokens are superseded"
	default:
		reply.Confirmed = true
		m.keepPromise(now)
	}
	return reply
}

func (m *Manager) keepPromise(now time.Duration) {
	m.promise, m.promised = now+PromiseTime, true
}

// acknowledge answers a peer that asks for the acknowledgement of its claim.
func (m *Manager) acknowledge(now time.Duration, e AckRequested) AckReply {
	h := m.state.Holdings[e.Shard]
	return AckReply{
		ID:           e.ID,
		Acknowledged: m.mayAcknowledge(now) && h.Token >= e.Token && m.state.ReadOffset > e.Token,
		ReadOffset:   m.state.ReadOffset,
	}
}

// mayAcknowledge reports whether no confirmation by this node, also none that
// it gave before a restart, can still extend an older token.
func (m *Manager) mayAcknowledge(now time.Duration) bool {
	if m.faults.ignorePromise {
		return m.joined()
	}
	return m.joined() && m.AppendsAllowed(now) && now >= m.cfg.Started+PromiseTime
}

// supersede gives up shards for which a peer knows a higher token, or that
// are released. The claim itself is read later.
func (m *Manager) supersede(tokens []ShardToken) {
	for _, t := range tokens {
		if r := m.records[t.Shard]; r.phase != phaseIdle && t.Token >= r.token {
			r.superseded = true
			m.records[t.Shard] = r
		}
	}
}

func (m *Manager) confirmed(e OutageConfirmed) {
	i := slices.IndexFunc(m.rounds, func(r round) bool { return r.id == e.Round })
	if i < 0 {
		return
	}
	m.rounds = slices.Clone(m.rounds)
	if m.rounds[i].add(m.cfg.Self.Node, confirmation{e.From, e.Superseded}) {
		m.count(&m.rounds[i])
	}
}

// count extends the tokens that a quorum of the round's members confirmed.
func (m *Manager) count(r *round) {
	need := Quorum(m.cfg.Nodes, len(r.members))
	until := min(r.sentAt+OutageExtension, m.renewedAt+OutageLimit)
	if 1+len(r.confirmed) >= need {
		m.outageUntil = max(m.outageUntil, until)
	}
	for _, t := range r.tokens {
		rec := m.records[t.Shard]
		if rec.token == t.Token && r.votes(t) >= need {
			rec.outageUntil = max(rec.outageUntil, until)
			m.records[t.Shard] = rec
		}
	}
}

// OutageConfirmedUntil returns the end of the last extension of the outage
// that a quorum of members confirmed; zero if there was none.
func (m *Manager) OutageConfirmedUntil() time.Duration { return m.outageUntil }

// askOutage starts a round of confirmations while the log is away. A node
// without shards asks too: its configuration counts as fresh in an outage that
// a quorum confirms.
func (m *Manager) askOutage(now time.Duration) {
	if !m.joined() || !m.hasLog || !m.logAway(now) || now-m.renewedAt >= OutageLimit {
		return
	}
	if n := len(m.rounds); n > 0 && now-m.rounds[n-1].sentAt < OutageInterval {
		return
	}
	r := round{sentAt: now}
	for _, name := range m.recordNames() {
		if rec := m.records[name]; (rec.phase == phaseHeld || rec.phase == phaseHandover) && !rec.superseded {
			r.tokens = append(r.tokens, ShardToken{name, rec.token})
		}
	}
	var to []string
	for _, member := range m.state.Members {
		r.members = append(r.members, member.Node)
		if member.Identity != m.cfg.Self {
			to = append(to, member.Node)
		}
	}
	m.round++
	r.id = m.round
	m.rounds = append(slices.Clone(m.rounds), r)
	m.rounds = m.rounds[max(0, len(m.rounds)-maxRounds):]
	m.keepPromise(now)
	m.count(&m.rounds[len(m.rounds)-1])
	if len(to) > 0 {
		m.emit(AskOutage{Round: r.id, To: to, Shards: r.tokens})
	}
}
