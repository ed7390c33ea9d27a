package ownership

import "time"

// observations records when this process first observed each member and each
// renewal. All times are at or after the event that they describe.
type observations struct {
	members map[Identity]memberObservation
	holders map[ownershipPeriod]time.Duration
}

// memberObservation is the observation of one member.
type memberObservation struct {
	firstSeen     time.Duration
	lastRenewal   uint64
	renewalSeenAt time.Duration
}

// ownershipPeriod identifies one period of ownership; a process can own a shard
// more than once.
type ownershipPeriod struct {
	Identity
	token uint64
}

func newObservations() observations {
	return observations{members: map[Identity]memberObservation{}, holders: map[ownershipPeriod]time.Duration{}}
}

// update returns the observations after a state was read. It keeps only entries
// that the state still contains, so the size is bounded by the state.
func (s observations) update(now time.Duration, state *State) observations {
	next := newObservations()
	for _, m := range state.Members {
		v, ok := s.members[m.Identity]
		if !ok {
			v = memberObservation{firstSeen: now, lastRenewal: m.Renewed, renewalSeenAt: now}
		}
		if v.lastRenewal != m.Renewed {
			v.lastRenewal, v.renewalSeenAt = m.Renewed, now
		}
		next.members[m.Identity] = v
	}
	for _, h := range state.Holdings {
		for _, p := range h.Previous {
			next.holders[ownershipPeriod{p.Identity, p.Token}] = s.holderSeenAt(now, p)
		}
	}
	return next
}

// holderSeenAt returns when the last renewal of a previous holder was observed.
func (s observations) holderSeenAt(now time.Duration, p Holder) time.Duration {
	if at, ok := s.holders[ownershipPeriod{p.Identity, p.Token}]; ok {
		return at
	}
	if v, ok := s.members[p.Identity]; ok && v.lastRenewal == p.Renewed {
		return v.renewalSeenAt
	}
	return now
}

// sinceRenewal returns the time since the last observed renewal of a member.
// Time without log contact does not count, since renewals cannot be seen then.
func (m *Manager) sinceRenewal(now time.Duration, id Identity) time.Duration {
	v, ok := m.observations.members[id]
	if !ok || !m.hasContact {
		return 0
	}
	return now - max(v.renewalSeenAt, m.contactSince)
}

// liveMembers returns the members that have renewed within TakeoverDelay, are
// not about to leave and are known for at least minAge, ordered by name.
func (m *Manager) liveMembers(now time.Duration, minAge time.Duration) []Candidate {
	var out []Candidate
	for _, member := range m.state.Members {
		leaving := m.isPeerDraining(member.Node) || member.Identity == m.cfg.Self && m.selfDraining
		if leaving || m.sinceRenewal(now, member.Identity) > TakeoverDelay {
			continue
		}
		if now-m.observations.members[member.Identity].firstSeen < minAge {
			continue
		}
		out = append(out, Candidate{Node: member.Node, Zone: member.Zone})
	}
	return out
}
