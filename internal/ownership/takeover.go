package ownership

import (
	"slices"
	"time"
)

// requestClaims emits claims for the claimable shards that this process should
// own, and for those that have been claimable for fallbackClaimDelay.
func (m *Manager) requestClaims(now time.Duration) {
	if !m.joined() || m.selfDraining || m.logUnreachable(now) || !m.OwnershipAppendsAllowed(now) {
		return
	}
	preferred := PreferredOwners(m.shards, m.liveMembers(now, 0))
	for _, s := range m.shards {
		r, h := m.shardStates[s.Name], m.state.Holdings[s.Name]
		if r.phase != phaseIdle {
			continue
		}
		if !m.isClaimable(now, h) {
			r.claimable = false
			m.shardStates[s.Name] = r
			continue
		}
		if !r.claimable {
			r.claimable, r.claimableSince = true, now
		}
		hasSuccessor := h.Released && h.Successor != ""
		preferredClaimant := hasSuccessor && h.Successor == m.cfg.Self.Node || !hasSuccessor && preferred[s.Name] == m.cfg.Self.Node
		if (preferredClaimant || now-r.claimableSince >= fallbackClaimDelay) && r.startAttemptIfDue(now) {
			m.emit(AppendClaim{Shard: s.Name, Supersedes: h.Token})
		}
		m.shardStates[s.Name] = r
	}
}

// isClaimable reports whether a shard has no owner, or one that has not renewed
// for TakeoverDelay.
func (m *Manager) isClaimable(now time.Duration, h Holding) bool {
	if h.Token == 0 || h.Released {
		return true
	}
	if m.state.isMember(h.Owner) {
		return m.sinceRenewal(now, h.Owner) > TakeoverDelay
	}
	// The owner has left, was evicted or has a later incarnation. The claimant
	// waits after its claim until the owner's authority has expired.
	return true
}

// promotePending moves the shards whose earlier holders have no authority any
// more to phaseHeld, and requests acknowledgements for the other pending ones.
func (m *Manager) promotePending(now time.Duration) {
	for _, name := range m.shardNames() {
		r := m.shardStates[name]
		if r.phase != phasePending || r.superseded {
			continue
		}
		m.holdIfSafe(now, name, &r)
		if r.phase == phasePending && r.startAttemptIfDue(now) {
			m.requestAcks(name, &r)
		}
		m.shardStates[name] = r
	}
}

func (m *Manager) requestAcks(name string, r *shardState) {
	var to []string
	add := func(node string) {
		if node != m.cfg.Self.Node && !slices.Contains(r.acks, node) && !slices.Contains(to, node) {
			to = append(to, node)
		}
	}
	for _, p := range m.state.Holdings[name].Previous {
		for _, set := range m.possibleMemberSets(p, r.token) {
			for _, node := range set.Names {
				add(node)
			}
		}
	}
	if len(to) > 0 {
		m.emit(RequestAcks{To: to, ShardToken: ShardToken{name, r.token}})
	}
}

func (m *Manager) addAck(e ClaimAcknowledged) {
	r := m.shardStates[e.Shard]
	if r.phase != phasePending || r.token != e.Token || e.From == m.cfg.Self.Node || slices.Contains(r.acks, e.From) {
		return
	}
	r.acks = append(slices.Clone(r.acks), e.From)
	slices.Sort(r.acks)
	m.shardStates[e.Shard] = r
}

// holdIfSafe moves a shard to phaseHeld once no earlier holder can have
// authority.
func (m *Manager) holdIfSafe(now time.Duration, name string, r *shardState) {
	for _, p := range m.state.Holdings[name].Previous {
		if p.Token == r.token || p.Identity == m.cfg.Self {
			continue
		}
		if !m.authorityEnded(now, p, r) {
			return
		}
	}
	r.phase, r.heldSince = phaseHeld, now
}

// authorityEnded reports whether the authority of an earlier holder has provably
// ended.
func (m *Manager) authorityEnded(now time.Duration, p Holder, r *shardState) bool {
	since := now - m.observations.holders[ownershipPeriod{p.Identity, p.Token}]
	if since <= TakeoverDelay {
		return false
	}
	if p.Rejoined || since > OutageTakeoverDelay || m.disabledRules.ignoreAcks {
		return true
	}
	sets := m.possibleMemberSets(p, r.token)
	if len(sets) == 0 {
		return false
	}
	for _, set := range sets {
		if !acksPreventQuorum(m.cfg.Nodes, len(set.Names), m.countAcks(now, set, p, r)) {
			return false
		}
	}
	return true
}

// countAcks returns the number of members of a set, other than the earlier
// holder, that never confirm its token again. This process counts as one of them
// under the same conditions as any other member.
func (m *Manager) countAcks(now time.Duration, set MemberSet, p Holder, r *shardState) int {
	n := 0
	for _, node := range set.Names {
		if node == p.Node {
			continue
		}
		if slices.Contains(r.acks, node) || node == m.cfg.Self.Node && m.canAcknowledge(now) {
			n++
		}
	}
	return n
}

// possibleMemberSets returns every member set that an earlier holder can have
// known before it read that its token was superseded: those in force at read
// offsets from the one that it declared up to the claim. It is empty if the
// history is too short.
func (m *Manager) possibleMemberSets(p Holder, claim uint64) []MemberSet {
	first := -1
	for i, set := range m.state.Sets {
		if set.From < p.ReadOffset {
			first = i
		}
	}
	if first < 0 {
		return nil
	}
	last := first
	for last+1 < len(m.state.Sets) && m.state.Sets[last+1].From < claim {
		last++
	}
	return m.state.Sets[first : last+1]
}
