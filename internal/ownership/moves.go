package ownership

import (
	"slices"
	"time"
)

// move hands over one shard that another member should own, at most one at a
// time. Nothing moves while the log is away.
func (m *Manager) move(now time.Duration) {
	m.retryRelease(now)
	if m.isMoving(now) || m.logAway(now) || !m.AppendsAllowed(now) || !m.joined() {
		return
	}
	candidates := m.targets(now)
	preferred := Place(m.shards, candidates)
	for _, name := range m.recordNames() {
		r := m.records[name]
		if _, _, ok := m.Authority(name, now); !ok || r.phase != phaseHeld {
			continue
		}
		to := preferred[name]
		settled := now-r.established >= holdTime && to != ""
		if to == m.cfg.Self.Node || !settled && !m.drain {
			continue
		}
		r.phase, r.successor = phaseHandover, to
		m.records[name] = r
		m.moving, m.movedAt = ShardToken{name, r.token}, now
		m.emit(HandOver{ShardToken: m.moving, Successor: to})
		return
	}
}

// targets returns the members that may get a shard from a live owner. A node
// that leaves falls back to young members rather than to nobody.
func (m *Manager) targets(now time.Duration) []Candidate {
	old := m.live(now, JoinGrace)
	if m.drain && len(old) == 0 {
		return m.live(now, 0)
	}
	// A young owner keeps what it has: it is not a target, but its shards do
	// not move away from it either until it is old enough to be compared.
	self := func(c Candidate) bool { return c.Node == m.cfg.Self.Node }
	if !m.drain && !slices.ContainsFunc(old, self) {
		return nil
	}
	return old
}

// isMoving reports whether a move has not come to its end: the successor's
// claim was read, or fallbackDelay has passed since the release.
func (m *Manager) isMoving(now time.Duration) bool {
	if m.moving.Shard == "" {
		return false
	}
	h := m.state.Holdings[m.moving.Shard]
	r := m.records[m.moving.Shard]
	switch {
	case h.Token != m.moving.Token, r.phase == phaseHeld:
	case h.Released && now-m.movedAt >= fallbackDelay:
	default:
		return true
	}
	m.moving = ShardToken{}
	return false
}

// handedOver sends the release. From here on this process never acts under
// the token again, unless the log certainly does not hold the release.
func (m *Manager) handedOver(t ShardToken) {
	r := m.records[t.Shard]
	if r.phase != phaseHandover || r.token != t.Token {
		return
	}
	r.phase, r.attempted = phaseReleasing, false
	m.records[t.Shard] = r
}

func (m *Manager) releaseRefused(t ShardToken) {
	r := m.records[t.Shard]
	if r.phase != phaseReleasing || r.token != t.Token {
		return
	}
	r.phase = phaseHeld
	m.records[t.Shard] = r
}

func (m *Manager) retryRelease(now time.Duration) {
	if m.logAway(now) || !m.AppendsAllowed(now) {
		return
	}
	for _, name := range m.recordNames() {
		r := m.records[name]
		if r.phase == phaseReleasing && r.due(now) {
			m.emit(AppendRelease{ShardToken{name, r.token}, r.successor})
			m.records[name] = r
		}
	}
}

// evict asks for the removal of members that have been silent for
// SilentLimit. Only the first live member by name does so.
func (m *Manager) evict(now time.Duration) {
	if !m.joined() || m.logAway(now) || !m.AppendsAllowed(now) {
		return
	}
	live := m.live(now, 0)
	if len(live) == 0 || live[0].Node != m.cfg.Self.Node || m.evictTried && now-m.evicted < retryInterval {
		return
	}
	for _, member := range m.state.Members {
		if member.Identity != m.cfg.Self && m.silent(now, member.Identity) > SilentLimit {
			m.evicted, m.evictTried = now, true
			m.emit(AppendEvict{member.Identity, member.Renewed})
		}
	}
}

func (m *Manager) isDraining(node string) bool { return slices.Contains(m.draining, node) }
