package ownership

import (
	"slices"
	"time"
)

// claim asks for the shards that this process should own and that are free.
func (m *Manager) claim(now time.Duration) {
	if !m.joined() || m.drain || m.logAway(now) || !m.AppendsAllowed(now) {
		return
	}
	preferred := Place(m.shards, m.live(now, 0))
	for _, s := range m.shards {
		r, h := m.records[s.Name], m.state.Holdings[s.Name]
		if r.phase != phaseIdle {
			continue
		}
		if !m.isFree(now, h) {
			r.free = false
			m.records[s.Name] = r
			continue
		}
		if !r.free {
			r.free, r.claimable = true, now
		}
		named := h.Released && h.Successor != ""
		turn := named && h.Successor == m.cfg.Self.Node || !named && preferred[s.Name] == m.cfg.Self.Node
		if (turn || now-r.claimable >= fallbackDelay) && r.due(now) {
			m.emit(AppendClaim{Shard: s.Name, Supersedes: h.Token})
		}
		m.records[s.Name] = r
	}
}

// isFree reports whether a shard has no owner, or one that is silent.
func (m *Manager) isFree(now time.Duration, h Holding) bool {
	if h.Token == 0 || h.Released {
		return true
	}
	if m.state.isMember(h.Owner) {
		return m.silent(now, h.Owner) > TakeoverWait
	}
	// The owner has left, was evicted or has a later incarnation. What remains
	// of its authority is awaited after the claim.
	return true
}

// establish advances the claims that took effect and asks for what they lack.
func (m *Manager) establish(now time.Duration) {
	for _, name := range m.recordNames() {
		r := m.records[name]
		if r.phase != phasePending || r.superseded {
			continue
		}
		m.advance(now, name, &r)
		if r.phase == phasePending && r.due(now) {
			m.askAck(name, &r)
		}
		m.records[name] = r
	}
}

func (m *Manager) askAck(name string, r *record) {
	var to []string
	add := func(node string) {
		if node != m.cfg.Self.Node && !slices.Contains(r.acks, node) && !slices.Contains(to, node) {
			to = append(to, node)
		}
	}
	for _, p := range m.state.Holdings[name].Previous {
		for _, set := range m.setsOf(p, r.token) {
			for _, node := range set.Names {
				add(node)
			}
		}
	}
	if len(to) > 0 {
		m.emit(AskAck{To: to, ShardToken: ShardToken{name, r.token}})
	}
}

func (m *Manager) acknowledged(e ClaimAcknowledged) {
	r := m.records[e.Shard]
	if r.phase != phasePending || r.token != e.Token || e.From == m.cfg.Self.Node || slices.Contains(r.acks, e.From) {
		return
	}
	r.acks = append(slices.Clone(r.acks), e.From)
	slices.Sort(r.acks)
	m.records[e.Shard] = r
}

// advance starts to hold a shard once no earlier holder can have authority.
func (m *Manager) advance(now time.Duration, name string, r *record) {
	for _, p := range m.state.Holdings[name].Previous {
		if p.Token == r.token || p.Identity == m.cfg.Self {
			continue
		}
		if !m.isOver(now, p, r) {
			return
		}
	}
	r.phase, r.established = phaseHeld, now
}

// isOver reports whether the authority of an earlier holder is provably over.
func (m *Manager) isOver(now time.Duration, p Holder, r *record) bool {
	since := now - m.seen.holders[holderKey{p.Identity, p.Token}]
	if since <= TakeoverWait {
		return false
	}
	if p.Rejoined || since > OutageWait || m.faults.ignoreAcks {
		return true
	}
	sets := m.setsOf(p, r.token)
	if len(sets) == 0 {
		return false
	}
	for _, set := range sets {
		if !enoughAcks(m.cfg.Nodes, len(set.Names), m.acksIn(now, set, p, r)) {
			return false
		}
	}
	return true
}

// acksIn counts the members of a set, other than the earlier holder, that
// never confirm its token again. This process is one of them under the same
// conditions as any other.
func (m *Manager) acksIn(now time.Duration, set MemberSet, p Holder, r *record) int {
	n := 0
	for _, node := range set.Names {
		if node == p.Node {
			continue
		}
		if slices.Contains(r.acks, node) || node == m.cfg.Self.Node && m.mayAcknowledge(now) {
			n++
		}
	}
	return n
}

// setsOf returns every member set that an earlier holder can have known while
// it believed in its token: those in force at read offsets from the one that
// it declared up to the claim. It is empty if the history is too short.
func (m *Manager) setsOf(p Holder, claim uint64) []MemberSet {
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
