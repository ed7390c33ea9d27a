package ownership

import (
	"slices"
	"time"
)

// handlePeerEvent processes the events that carry requests and answers of peers.
func (m *Manager) handlePeerEvent(now time.Duration, e Event) {
	switch e := e.(type) {
	case ConfirmRequested:
		m.emit(m.confirm(now, e))
	case AckRequested:
		m.emit(m.acknowledge(now, e))
	case OutageConfirmed:
		m.markSuperseded(e.Superseded)
		m.addConfirmation(e)
	case OutageDenied:
		m.markSuperseded(e.Superseded)
	case ClaimAcknowledged:
		m.addAck(e)
	}
}

// confirm answers a peer that asks this node to confirm an outage. A
// confirmation starts a new promise.
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
	case !m.logUnreachable(now):
		reply.Reason = "the log answers"
	case len(e.Shards) > 0 && len(reply.Superseded) == len(e.Shards):
		reply.Reason = "all tokens are superseded"
	default:
		reply.Confirmed = true
		m.extendPromise(now)
	}
	return reply
}

func (m *Manager) extendPromise(now time.Duration) {
	m.promiseUntil, m.hasPromised = now+PromiseDuration, true
}

// acknowledge answers a peer that asks this node to acknowledge its claim.
func (m *Manager) acknowledge(now time.Duration, e AckRequested) AckReply {
	h := m.state.Holdings[e.Shard]
	return AckReply{
		ID:           e.ID,
		Acknowledged: m.canAcknowledge(now) && h.Token >= e.Token && m.state.ReadOffset > e.Token,
		ReadOffset:   m.state.ReadOffset,
	}
}

// canAcknowledge reports whether no confirmation by this node, including any
// that it gave before a restart, can still extend an older token.
func (m *Manager) canAcknowledge(now time.Duration) bool {
	if m.disabledRules.ignorePromise {
		return m.joined()
	}
	return m.joined() && m.OwnershipAppendsAllowed(now) && now >= m.cfg.Started+PromiseDuration
}

// markSuperseded ends the authority over shards for which a peer knows a higher
// token or a release. The claim itself is read from the log later.
func (m *Manager) markSuperseded(tokens []ShardToken) {
	for _, t := range tokens {
		if r := m.shardStates[t.Shard]; r.phase != phaseIdle && t.Token >= r.token {
			r.superseded = true
			m.shardStates[t.Shard] = r
		}
	}
}

func (m *Manager) addConfirmation(e OutageConfirmed) {
	i := slices.IndexFunc(m.rounds, func(r round) bool { return r.id == e.Round })
	if i < 0 {
		return
	}
	m.rounds = slices.Clone(m.rounds)
	if m.rounds[i].add(m.cfg.Self.Node, confirmation{e.From, e.Superseded}) {
		m.extendAuthority(&m.rounds[i])
	}
}

// extendAuthority extends the authority under the tokens that a quorum of the
// round's members confirmed.
func (m *Manager) extendAuthority(r *round) {
	need := Quorum(m.cfg.Nodes, len(r.members))
	until := min(r.sentAt+ConfirmationValidity, m.renewalSentAt+MaxOutageDuration)
	if 1+len(r.confirmations) >= need {
		m.outageConfirmedUntil = max(m.outageConfirmedUntil, until)
	}
	for _, t := range r.tokens {
		rec := m.shardStates[t.Shard]
		if rec.token == t.Token && r.confirmationCount(t) >= need {
			rec.outageUntil = max(rec.outageUntil, until)
			m.shardStates[t.Shard] = rec
		}
	}
}

// OutageConfirmedUntil returns the end of the last extension of the outage
// that a quorum of members confirmed; zero if there was none.
func (m *Manager) OutageConfirmedUntil() time.Duration { return m.outageConfirmedUntil }

// requestConfirmations starts a round of confirmations while the log is
// unreachable. A node without shards asks too: its configuration counts as fresh
// during an outage that a quorum has confirmed.
func (m *Manager) requestConfirmations(now time.Duration) {
	if !m.joined() || !m.hasRenewal || !m.logUnreachable(now) || now-m.renewalSentAt >= MaxOutageDuration {
		return
	}
	if n := len(m.rounds); n > 0 && now-m.rounds[n-1].sentAt < ConfirmationInterval {
		return
	}
	r := round{sentAt: now}
	for _, name := range m.shardNames() {
		if rec := m.shardStates[name]; (rec.phase == phaseHeld || rec.phase == phaseQuiescing) && !rec.superseded {
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
	m.lastRoundID++
	r.id = m.lastRoundID
	m.rounds = append(slices.Clone(m.rounds), r)
	m.rounds = m.rounds[max(0, len(m.rounds)-maxRounds):]
	m.extendPromise(now)
	m.extendAuthority(&m.rounds[len(m.rounds)-1])
	if len(to) > 0 {
		m.emit(RequestConfirmations{Round: r.id, To: to, Shards: r.tokens})
	}
}
