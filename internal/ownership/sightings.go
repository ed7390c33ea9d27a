package ownership

import "time"

// sightings tells when this process first saw each member and each renewal.
// All times are at or after the event they describe.
type sightings struct {
	members map[Identity]sighting
	holders map[holderKey]time.Duration
}

// sighting is what was seen of one member.
type sighting struct {
	first   time.Duration
	renewed uint64
	at      time.Duration
}

// holderKey names one tenure; a process can hold a shard more than once.
type holderKey struct {
	Identity
	token uint64
}

func newSightings() sightings {
	return sightings{members: map[Identity]sighting{}, holders: map[holderKey]time.Duration{}}
}

// update returns the sightings after a state was read; it keeps only entries
// that the state still names, so the size is bounded by the state.
func (s sightings) update(now time.Duration, state *State) sightings {
	next := newSightings()
	for _, m := range state.Members {
		v, ok := s.members[m.Identity]
		if !ok {
			v = sighting{first: now, renewed: m.Renewed, at: now}
		}
		if v.renewed != m.Renewed {
			v.renewed, v.at = m.Renewed, now
		}
		next.members[m.Identity] = v
	}
	for _, h := range state.Holdings {
		for _, p := range h.Previous {
			next.holders[holderKey{p.Identity, p.Token}] = s.holderAt(now, p)
		}
	}
	return next
}

func (s sightings) holderAt(now time.Duration, p Holder) time.Duration {
	if at, ok := s.holders[holderKey{p.Identity, p.Token}]; ok {
		return at
	}
	if v, ok := s.members[p.Identity]; ok && v.renewed == p.Renewed {
		return v.at
	}
	return now
}

// silent returns how long a member has not renewed. Time without log contact
// does not count, since renewals cannot be seen then.
func (m *Manager) silent(now time.Duration, id Identity) time.Duration {
	v, ok := m.seen.members[id]
	if !ok || !m.hasContact {
		return 0
	}
	return now - max(v.at, m.contactSince)
}

// live returns the members that have renewed within TakeoverWait and are not
// about to leave, in order of name; at least minAge old.
func (m *Manager) live(now time.Duration, minAge time.Duration) []Candidate {
	var out []Candidate
	for _, member := range m.state.Members {
		leaving := m.isDraining(member.Node) || member.Identity == m.cfg.Self && m.drain
		if leaving || m.silent(now, member.Identity) > TakeoverWait {
			continue
		}
		if now-m.seen.members[member.Identity].first < minAge {
			continue
		}
		out = append(out, Candidate{Node: member.Node, Zone: member.Zone})
	}
	return out
}
