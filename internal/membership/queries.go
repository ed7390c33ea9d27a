package membership

import "time"

// Views returns the known state of the peers, ordered by name.
func (t *Tracker) Views() []View {
	out := make([]View, len(t.peers))
	for i := range t.peers {
		out[i] = t.peers[i].View
	}
	return out
}

// Draining returns the names of the peers that are about to leave.
func (t *Tracker) Draining() []string {
	var out []string
	for i := range t.peers {
		if t.peers[i].Draining {
			out = append(out, t.peers[i].Node)
		}
	}
	return out
}

// HighestRevision returns the highest configuration revision that this node or a
// peer has ever reported. It never decreases.
func (t *Tracker) HighestRevision() uint64 { return t.highestRevision }

// ConfigFresh reports whether there is a proof, at most FreshnessPeriod old,
// that the applied configuration is the last one. If not, reason says why.
func (t *Tracker) ConfigFresh(now time.Duration) (ok bool, reason string) {
	if t.revision < t.highestRevision {
		return false, "a peer has a newer revision"
	}
	if t.hasReadLog && now-t.logReadAt <= FreshnessPeriod || now < t.outageUntil {
		return true, ""
	}
	for i := range t.peers {
		p := &t.peers[i]
		if p.HasAnswered && p.LogReachable && now-p.AnsweredRequestSentAt+p.LogContactAge <= FreshnessPeriod {
			return true, ""
		}
	}
	return false, "neither the log nor a peer that reads it has answered"
}

// PeerAhead returns a reachable peer that has read further in the log than this
// node.
func (t *Tracker) PeerAhead() (View, bool) {
	for i := range t.peers {
		if p := &t.peers[i]; p.HasAnswered && p.Status != Unreachable && p.ReadOffset > t.readOffset {
			return p.View, true
		}
	}
	return View{}, false
}

// CaughtUp reports whether this node may serve: at some time since its start it
// has read as far as every reachable peer had reported. It stays true from then
// on, since a running node is always a few records behind some peer.
func (t *Tracker) CaughtUp() bool { return t.caughtUp }

func (t *Tracker) updateCaughtUp(now time.Duration) {
	if t.caughtUp || !t.hasReadLog {
		return
	}
	if _, ahead := t.PeerAhead(); ahead {
		return
	}
	for i := range t.peers {
		p := &t.peers[i]
		if !p.HasAnswered && p.Status != Unreachable {
			return
		}
	}
	t.caughtUp = len(t.peers) > 0 || now-t.started >= ExchangeInterval
}
