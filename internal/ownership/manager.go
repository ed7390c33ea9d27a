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
	// shardRecords has an entry for each shard known from the host list or the
	// log.
	shardRecords map[string]record
	observations observations

	// logAuthorityUntil is the end of the authority that the last counting
	// renewal gives, renewalSentAt the time at which that renewal was sent.
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
		shardRecords: map[string]record{},
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
	case PeersDraining:
		m.drainingPeers = slices.Clone(e.Nodes)
	case Drain:
		m.selfDraining = true
	default:
		m.handlePeerEvent(now, e)
	}
	m.evaluate(now)
	return m.actions
}

// Authority returns the token under which commands for a shard may be sent,
// and until when. It must be called immediately before each write; ok is
// false if nothing may be sent.
func (m *Manager) Authority(shard string, now time.Duration) (token uint64, until time.Duration, ok bool) {
	r := m.shardRecords[shard]
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
	r := m.shardRecords[shard]
	if r.phase < phaseHeld {
		return 0, false
	}
	return r.heldSince, true
}

// AppendsAllowed reports whether anything but renewals may be appended.
func (m *Manager) AppendsAllowed(now time.Duration) bool {
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
	m.reconcileRecords(now)
}

// countRenewals applies the renewals that the read offset has passed. A renewal
// at or above the read offset does not count yet: a claim may lie between the
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

// reconcileRecords updates the shard records to the claims that were read.
func (m *Manager) reconcileRecords(now time.Duration) {
	for _, name := range slices.Sorted(maps.Keys(m.state.Holdings)) {
		h, r := m.state.Holdings[name], m.shardRecords[name]
		mine := m.joined() && h.Owner == m.cfg.Self && !h.Released
		if r.phase != phaseIdle && (!mine || r.token != h.Token) {
			m.emitStopActing(name, &r, "another claim or a release was read")
			r = record{}
		}
		if mine && r.phase == phaseIdle {
			r = record{phase: phasePending, token: h.Token}
			m.establishIfSafe(now, name, &r)
		}
		m.shardRecords[name] = r
	}
}

func (m *Manager) emitStopActing(name string, r *record, reason string) {
	if r.acting {
		r.acting = false
		m.emit(StopActing{ShardToken{name, r.token}, reason})
	}
}

func (m *Manager) evaluate(now time.Duration) {
	m.renewIfDue(now)
	m.requestConfirmations(now)
	m.establishPending(now)
	m.requestClaims(now)
	m.advanceTransfers(now)
	m.requestEvictions(now)
	m.reportAuthorityChanges(now)
}

// reportAuthorityChanges emits StartActing and StopActing for the shards whose
// authority began or ended.
func (m *Manager) reportAuthorityChanges(now time.Duration) {
	held := false
	for _, name := range m.recordNames() {
		r := m.shardRecords[name]
		held = held || r.phase != phaseIdle
		_, _, ok := m.Authority(name, now)
		if ok && !r.acting && r.phase == phaseHeld {
			r.acting = true
			m.emit(StartActing{ShardToken{name, r.token}})
		} else if !ok {
			m.emitStopActing(name, &r, "authority has run out")
			if r.phase == phaseQuiescing {
				// StopActing makes the dispatcher drop the shard, so it reports
				// no completion.
				r.phase = phaseHeld
			}
		}
		m.shardRecords[name] = r
	}
	if m.selfDraining && !held {
		m.emit(LeaveReady{})
	}
}

func (m *Manager) recordNames() []string { return slices.Sorted(maps.Keys(m.shardRecords)) }

func (m *Manager) renewIfDue(now time.Duration) {
	if !m.joined() || m.renewAttempted && now-m.lastRenewAttempt < RenewInterval {
		return
	}
	m.lastRenewAttempt, m.renewAttempted = now, true
	m.emit(AppendRenewal{ReadOffset: m.state.ReadOffset})
}
