package ownership

import (
	"maps"
	"slices"
	"time"
)

// Manager decides about claims, transfers and authority for all shards of one
// process. Clock values are readings of one monotonic clock and never decrease.
type Manager struct {
	cfg           Config
	disabledRules disabledRules
	state         State
	shards        []Shard
	// shardStates has an entry for each shard known from the host list or the
	// log.
	shardStates  map[string]shardState
	observations observations

	// logAuthorityUntil is the end of the authority that the last renewal in
	// effect gives, renewalSentAt the time at which that renewal was sent.
	// Both are set if hasRenewal is true.
	logAuthorityUntil time.Duration
	renewalSentAt     time.Duration
	hasRenewal        bool
	// unreadRenewals are accepted renewals that the read offset has not passed.
	unreadRenewals   []RenewalAccepted
	lastRenewAttempt time.Duration
	// renewAttempted and evictAttempted report whether lastRenewAttempt and
	// lastEvictAttempt are set.
	renewAttempted   bool
	lastEvictAttempt time.Duration
	evictAttempted   bool

	lastContact   time.Duration
	contactSince  time.Duration
	hasContact    bool
	appendFailing bool

	promiseUntil time.Duration
	hasPromised  bool
	rounds       []round
	lastRoundID  uint64
	// outageConfirmedUntil is the end of the last extension that a quorum
	// confirmed.
	outageConfirmedUntil time.Duration

	transferring      ShardToken
	transferStartedAt time.Duration
	selfDraining      bool
	drainingPeers     []string

	actions []Action
}

// disabledRules switches rules off, so that tests can show that they detect a
// missing rule.
type disabledRules struct {
	ignoreAcks    bool
	ignorePromise bool
}

// New returns a Manager that holds no shard.
func New(cfg Config) *Manager {
	return &Manager{
		cfg:          cfg,
		shardStates:  map[string]shardState{},
		observations: newObservations(),
		lastContact:  cfg.Started,
		contactSince: cfg.Started,
	}
}

// Handle processes one event and returns the actions to perform, in order.
func (m *Manager) Handle(now time.Duration, e Event) []Action {
	m.actions = nil
	switch e := e.(type) {
	case ShardsChanged:
		m.shards = slices.Clone(e.Shards)
	case LedgerRead:
		m.applyState(now, e.State)
	case LogContact:
		if !m.appendFailing {
			m.noteLogContact(now)
		}
	case RenewalAccepted:
		m.appendFailing = false
		m.noteLogContact(now)
		if len(m.unreadRenewals) < maxPendingRenewals {
			m.unreadRenewals = append(slices.Clone(m.unreadRenewals), e)
		}
		m.countRenewals()
	case AppendFailed:
		m.appendFailing = true
	case ReleaseRefused:
		m.releaseRefused(e.ShardToken)
	case ShardQuiesced:
		m.shardQuiesced(e.ShardToken)
	case QuiesceFailed:
		m.quiesceFailed(now, e.ShardToken)
	case PeersDraining:
		m.drainingPeers = slices.Clone(e.Nodes)
	case Drain:
		m.selfDraining = true
	default:
		m.handlePeerEvent(now, e)
	}
	m.emitDueActions(now)
	return m.actions
}

// Authority returns the token under which commands for a shard may be sent,
// and until when. It must be called immediately before each write; ok is
// false if nothing may be sent.
func (m *Manager) Authority(shard string, now time.Duration) (token uint64, until time.Duration, ok bool) {
	r := m.shardStates[shard]
	if r.superseded || r.phase != phaseHeld && r.phase != phaseQuiescing {
		return 0, 0, false
	}
	until = r.outageUntil
	if m.hasRenewal {
		until = max(until, m.logAuthorityUntil)
	}
	if now >= until {
		return 0, 0, false
	}
	return r.token, until, true
}

// EarlierAuthorityEndedAt returns the time from which no earlier owner of a
// shard can grant or extend task leases any more. ok is false if this process
// does not hold the shard.
func (m *Manager) EarlierAuthorityEndedAt(shard string) (at time.Duration, ok bool) {
	r := m.shardStates[shard]
	if r.phase < phaseHeld {
		return 0, false
	}
	return r.heldSince, true
}

// OwnershipAppendsAllowed reports whether claims, releases and evictions may be
// appended. A node that confirmed an outage has promised to append none.
func (m *Manager) OwnershipAppendsAllowed(now time.Duration) bool {
	return !m.hasPromised || now >= m.promiseUntil
}

func (m *Manager) emit(a Action) { m.actions = append(m.actions, a) }

// noteLogContact records contact with the log. A gap restarts the observation of
// other members, whose renewals could not be seen during the gap.
func (m *Manager) noteLogContact(now time.Duration) {
	if !m.hasContact || now-m.lastContact > OutageThreshold {
		m.contactSince = now
	}
	m.lastContact, m.hasContact = now, true
}

// logUnreachable reports whether the log has not answered for
// OutageThreshold.
func (m *Manager) logUnreachable(now time.Duration) bool { return now-m.lastContact >= OutageThreshold }

func (m *Manager) applyState(now time.Duration, s State) {
	if s.ReadOffset < m.state.ReadOffset {
		return
	}
	m.state = s
	m.observations = m.observations.update(now, &m.state)
	m.countRenewals()
	m.reconcileShardStates(now)
}

// countRenewals applies the renewals that the read offset has passed. A renewal
// at or above the read offset is not in effect yet: a claim may lie between the
// read offset and the renewal.
func (m *Manager) countRenewals() {
	m.unreadRenewals = slices.DeleteFunc(slices.Clone(m.unreadRenewals), func(r RenewalAccepted) bool {
		if r.Offset >= m.state.ReadOffset {
			return false
		}
		if !m.hasRenewal || r.SentAt > m.renewalSentAt {
			m.renewalSentAt, m.logAuthorityUntil, m.hasRenewal = r.SentAt, r.SentAt+RenewalValidity, true
		}
		return true
	})
}

// joined reports whether this process has read its own Join.
func (m *Manager) joined() bool { return m.state.isMember(m.cfg.Self) }

// reconcileShardStates updates the states of the shards to the claims that were
// read.
func (m *Manager) reconcileShardStates(now time.Duration) {
	for _, name := range slices.Sorted(maps.Keys(m.state.Holdings)) {
		h, r := m.state.Holdings[name], m.shardStates[name]
		mine := m.joined() && h.Owner == m.cfg.Self && !h.Released
		if r.phase != phaseIdle && (!mine || r.token != h.Token) {
			m.emitStopShard(name, &r, "another claim or a release was read")
			r = shardState{}
		}
		if mine && r.phase == phaseIdle {
			r = shardState{phase: phasePending, token: h.Token}
			m.holdIfSafe(now, name, &r)
		}
		m.shardStates[name] = r
	}
}

func (m *Manager) emitStopShard(name string, r *shardState, reason string) {
	if r.started {
		r.started = false
		m.emit(StopShard{ShardToken{name, r.token}, reason})
	}
}

// emitDueActions emits every action that is due at clock value now.
func (m *Manager) emitDueActions(now time.Duration) {
	m.renewIfDue(now)
	m.requestConfirmations(now)
	m.promotePending(now)
	m.requestClaims(now)
	m.advanceTransfers(now)
	m.requestEvictions(now)
	m.reportAuthorityChanges(now)
}

// reportAuthorityChanges emits StartShard and StopShard for the shards whose
// authority began or ended.
func (m *Manager) reportAuthorityChanges(now time.Duration) {
	held := false
	for _, name := range m.shardNames() {
		r := m.shardStates[name]
		held = held || r.phase != phaseIdle
		_, _, ok := m.Authority(name, now)
		if ok && !r.started && r.phase == phaseHeld {
			r.started = true
			m.emit(StartShard{ShardToken{name, r.token}})
		} else if !ok {
			m.emitStopShard(name, &r, "authority has expired")
			if r.phase == phaseQuiescing {
				// StopShard makes the dispatcher drop the shard, so it reports
				// no completion.
				r.phase = phaseHeld
			}
		}
		m.shardStates[name] = r
	}
	if m.selfDraining && !held {
		m.emit(LeaveReady{})
	}
}

func (m *Manager) shardNames() []string { return slices.Sorted(maps.Keys(m.shardStates)) }

func (m *Manager) renewIfDue(now time.Duration) {
	if !m.joined() || m.renewAttempted && now-m.lastRenewAttempt < RenewInterval {
		return
	}
	m.lastRenewAttempt, m.renewAttempted = now, true
	m.emit(AppendRenewal{ReadOffset: m.state.ReadOffset})
}
