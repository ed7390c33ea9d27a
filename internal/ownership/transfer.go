package ownership

import (
	"slices"
	"time"
)

// advanceTransfers appends the releases that are due and starts the transfer of
// one shard that another member should own. At most one transfer is in progress,
// and none starts while the log is unreachable.
func (m *Manager) advanceTransfers(now time.Duration) {
	m.appendDueReleases(now)
	if m.transferInProgress(now) || m.logUnreachable(now) || !m.OwnershipAppendsAllowed(now) || !m.joined() {
		return
	}
	candidates := m.transferTargets(now)
	preferred := PreferredOwners(m.shards, candidates)
	for _, name := range m.shardNames() {
		r := m.shardStates[name]
		if _, _, ok := m.Authority(name, now); !ok || r.phase != phaseHeld {
			continue
		}
		to := preferred[name]
		heldLongEnough := now-r.heldSince >= minHoldDuration && now >= r.transferAfter && to != ""
		if to == m.cfg.Self.Node || !heldLongEnough && !m.selfDraining {
			continue
		}
		r.phase, r.successor = phaseQuiescing, to
		m.shardStates[name] = r
		m.transferring, m.transferStartedAt = ShardToken{name, r.token}, now
		m.emit(QuiesceShard{ShardToken: m.transferring, Successor: to})
		return
	}
}

// transferTargets returns the members to which a live owner may transfer a
// shard. If no member is older than JoinGracePeriod, a leaving node falls back
// to younger ones.
func (m *Manager) transferTargets(now time.Duration) []Candidate {
	eligible := m.liveMembers(now, JoinGracePeriod)
	if m.selfDraining && len(eligible) == 0 {
		return m.liveMembers(now, 0)
	}
	// An owner younger than JoinGracePeriod is not a target, but it does not
	// transfer its shards away either until it is old enough to be a candidate.
	self := func(c Candidate) bool { return c.Node == m.cfg.Self.Node }
	if !m.selfDraining && !slices.ContainsFunc(eligible, self) {
		return nil
	}
	return eligible
}

// transferInProgress reports whether a transfer is in progress. It ends when the
// successor's claim was read, when the shard is held again, or, once released,
// when fallbackClaimDelay has passed since the transfer started.
func (m *Manager) transferInProgress(now time.Duration) bool {
	if m.transferring.Shard == "" {
		return false
	}
	h := m.state.Holdings[m.transferring.Shard]
	r := m.shardStates[m.transferring.Shard]
	switch {
	case h.Token != m.transferring.Token, r.phase == phaseHeld:
	case h.Released && now-m.transferStartedAt >= fallbackClaimDelay:
	default:
		return true
	}
	m.transferring = ShardToken{}
	return false
}

// shardQuiesced moves the shard to phaseReleasing, in which the release is
// appended. From then on this process never acts under the token again, unless
// the log is known not to contain the release.
func (m *Manager) shardQuiesced(t ShardToken) {
	r := m.shardStates[t.Shard]
	if r.phase != phaseQuiescing || r.token != t.Token {
		return
	}
	r.phase, r.attempted = phaseReleasing, false
	m.shardStates[t.Shard] = r
}

// quiesceFailed returns the shard to phaseHeld. Its transfer is tried again after
// minHoldDuration, since nothing is started while a shard is being quiesced; a
// leaving node tries again at once.
func (m *Manager) quiesceFailed(now time.Duration, t ShardToken) {
	r := m.shardStates[t.Shard]
	if r.phase != phaseQuiescing || r.token != t.Token {
		return
	}
	r.phase, r.transferAfter = phaseHeld, now+minHoldDuration
	m.shardStates[t.Shard] = r
}

func (m *Manager) releaseRefused(t ShardToken) {
	r := m.shardStates[t.Shard]
	if r.phase != phaseReleasing || r.token != t.Token {
		return
	}
	r.phase = phaseHeld
	m.shardStates[t.Shard] = r
}

func (m *Manager) appendDueReleases(now time.Duration) {
	if m.logUnreachable(now) || !m.OwnershipAppendsAllowed(now) {
		return
	}
	for _, name := range m.shardNames() {
		r := m.shardStates[name]
		if r.phase == phaseReleasing && r.startAttemptIfDue(now) {
			m.emit(AppendRelease{ShardToken{name, r.token}, r.successor})
			m.shardStates[name] = r
		}
	}
}

// requestEvictions requests the eviction of members that have not renewed for
// EvictionTimeout. Only the first live member by name does so.
func (m *Manager) requestEvictions(now time.Duration) {
	if !m.joined() || m.logUnreachable(now) || !m.OwnershipAppendsAllowed(now) {
		return
	}
	live := m.liveMembers(now, 0)
	if len(live) == 0 || live[0].Node != m.cfg.Self.Node || m.evictAttempted && now-m.lastEvictAttempt < retryInterval {
		return
	}
	for _, member := range m.state.Members {
		if member.Identity != m.cfg.Self && m.sinceRenewal(now, member.Identity) > EvictionTimeout {
			m.lastEvictAttempt, m.evictAttempted = now, true
			m.emit(AppendEvict{member.Identity, member.Renewed})
		}
	}
}

func (m *Manager) isPeerDraining(node string) bool { return slices.Contains(m.drainingPeers, node) }
