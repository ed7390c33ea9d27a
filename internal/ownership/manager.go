package ownership

import (
	"maps"
	"slices"
	"time"
)

// Manager decides for all shards of one process. Clock values are readings of
// one monotonic clock and never decrease.
type Manager struct {
	cfg    Config
	faults faults
	state  State
	shards []Shard
	// records has an entry for each shard known from the list or the log.
	records map[string]record
	seen    sightings

	// logUntil and renewedAt describe the last renewal that counts.
	logUntil  time.Duration
	renewedAt time.Duration
	hasLog    bool
	// unread are accepted renewals that were not yet read past.
	unread []RenewalAccepted
	tried  time.Duration
	// renewTried and evictTried tell whether tried and evicted are set.
	renewTried bool
	evicted    time.Duration
	evictTried bool

	contact      time.Duration
	contactSince time.Duration
	hasContact   bool
	failing      bool

	promise  time.Duration
	promised bool
	rounds   []round
	round    uint64
	// outageUntil is the end of the last extension that a quorum confirmed.
	outageUntil time.Duration

	moving   ShardToken
	movedAt  time.Duration
	drain    bool
	draining []string

	actions []Action
}

// faults switch rules off, so that tests can show that they find the loss.
type faults struct {
	ignoreAcks    bool
	ignorePromise bool
}

// New returns a Manager that holds no shard.
func New(cfg Config) *Manager {
	return &Manager{
		cfg:          cfg,
		records:      map[string]record{},
		seen:         newSightings(),
		contact:      cfg.Started,
		contactSince: cfg.Started,
	}
}

// Handle processes one event and returns what has to be done, in order.
func (m *Manager) Handle(now time.Duration, e Event) []Action {
	m.actions = nil
	switch e := e.(type) {
	case ShardsKnown:
		m.shards = slices.Clone(e.Shards)
	case LedgerRead:
		m.read(now, e.State)
	case LogContact:
		if !m.failing {
			m.touch(now)
		}
	case RenewalAccepted:
		m.failing = false
		m.touch(now)
		if len(m.unread) < maxPendingRenewals {
			m.unread = append(slices.Clone(m.unread), e)
		}
		m.countRenewals()
	case AppendFailed:
		m.failing = true
	case ReleaseRefused:
		m.releaseRefused(e.ShardToken)
	case HandedOver:
		m.handedOver(e.ShardToken)
	case PeersDraining:
		m.draining = slices.Clone(e.Nodes)
	case Drain:
		m.drain = true
	default:
		m.handlePeer(now, e)
	}
	m.evaluate(now)
	return m.actions
}

// Authority returns the token under which commands for a shard may be sent,
// and until when. It must be called immediately before each write; ok is
// false if nothing may be sent.
func (m *Manager) Authority(shard string, now time.Duration) (token uint64, until time.Duration, ok bool) {
	r := m.records[shard]
	if r.superseded || r.phase != phaseHeld && r.phase != phaseHandover {
		return 0, 0, false
	}
	until = r.outageUntil
	if m.hasLog {
		until = max(until, m.logUntil)
	}
	if now >= until {
		return 0, 0, false
	}
	return r.token, until, true
}

// OldAuthorityOver returns since when leases that earlier owners of a shard
// granted can only run down. ok is false if this process does not hold it.
func (m *Manager) OldAuthorityOver(shard string) (at time.Duration, ok bool) {
	r := m.records[shard]
	if r.phase < phaseHeld {
		return 0, false
	}
	return r.established, true
}

// AppendsAllowed reports whether anything but renewals may be appended.
func (m *Manager) AppendsAllowed(now time.Duration) bool {
	return !m.promised || now >= m.promise
}

func (m *Manager) emit(a Action) { m.actions = append(m.actions, a) }

// touch notes contact with the log. A gap restarts the observation of other
// members, whose renewals could not be seen during the gap.
func (m *Manager) touch(now time.Duration) {
	if !m.hasContact || now-m.contact > OutageAfter {
		m.contactSince = now
	}
	m.contact, m.hasContact = now, true
}

// logAway reports whether the log has not answered for OutageAfter.
func (m *Manager) logAway(now time.Duration) bool { return now-m.contact >= OutageAfter }

func (m *Manager) read(now time.Duration, s State) {
	if s.ReadOffset < m.state.ReadOffset {
		return
	}
	m.state = s
	m.seen = m.seen.update(now, &m.state)
	m.countRenewals()
	m.settle(now)
}

// countRenewals applies the renewals that have been read past. Earlier ones
// do not count: a claim may lie between the read offset and the renewal.
func (m *Manager) countRenewals() {
	m.unread = slices.DeleteFunc(slices.Clone(m.unread), func(r RenewalAccepted) bool {
		if r.Offset >= m.state.ReadOffset {
			return false
		}
		if !m.hasLog || r.SentAt > m.renewedAt {
			m.renewedAt, m.logUntil, m.hasLog = r.SentAt, r.SentAt+LogAuthority, true
		}
		return true
	})
}

// joined reports whether this process has read its own Join.
func (m *Manager) joined() bool { return m.state.isMember(m.cfg.Self) }

// settle brings the records in line with the claims that were read.
func (m *Manager) settle(now time.Duration) {
	for _, name := range slices.Sorted(maps.Keys(m.state.Holdings)) {
		h, r := m.state.Holdings[name], m.records[name]
		mine := m.joined() && h.Owner == m.cfg.Self && !h.Released
		if r.phase != phaseIdle && (!mine || r.token != h.Token) {
			m.stop(name, &r, "another claim or a release was read")
			r = record{}
		}
		if mine && r.phase == phaseIdle {
			r = record{phase: phasePending, token: h.Token}
			m.advance(now, name, &r)
		}
		m.records[name] = r
	}
}

func (m *Manager) stop(name string, r *record, reason string) {
	if r.acting {
		r.acting = false
		m.emit(StopActing{ShardToken{name, r.token}, reason})
	}
}

func (m *Manager) evaluate(now time.Duration) {
	m.renew(now)
	m.askOutage(now)
	m.establish(now)
	m.claim(now)
	m.move(now)
	m.evict(now)
	m.report(now)
}

// report emits StartActing and StopActing where authority came or went.
func (m *Manager) report(now time.Duration) {
	held := false
	for _, name := range m.recordNames() {
		r := m.records[name]
		held = held || r.phase != phaseIdle
		_, _, ok := m.Authority(name, now)
		if ok && !r.acting && r.phase == phaseHeld {
			r.acting = true
			m.emit(StartActing{ShardToken{name, r.token}})
		} else if !ok {
			m.stop(name, &r, "authority has run out")
			if r.phase == phaseHandover {
				// The dispatcher has dropped the shard and reports nothing.
				r.phase = phaseHeld
			}
		}
		m.records[name] = r
	}
	if m.drain && !held {
		m.emit(LeaveReady{})
	}
}

func (m *Manager) recordNames() []string { return slices.Sorted(maps.Keys(m.records)) }

func (m *Manager) renew(now time.Duration) {
	if !m.joined() || m.renewTried && now-m.tried < RenewInterval {
		return
	}
	m.tried, m.renewTried = now, true
	m.emit(AppendRenewal{ReadOffset: m.state.ReadOffset})
}
