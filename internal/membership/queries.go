package membership

import "time"

// Views returns what is known about the peers, in order of name.
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

// HighestRevision returns the highest revision that was ever seen, here or at
// a peer. It is never lowered.
func (t *Tracker) HighestRevision() uint64 { return t.highestRevision }

// ConfigFresh reports whether the applied configuration is proved to be the
// last one, within FreshFor, and if not, why.
func (t *Tracker) ConfigFresh(now time.Duration) (ok bool, reason string) {
	if t.revision < t.highestRevision {
		return false, "a peer has a newer revision"
	}
	if t.hasRead && now-t.readAt <= FreshFor || now < t.outageUntil {
		return true, ""
	}
	for i := range t.peers {
		p := &t.peers[i]
		if p.Heard && p.LogReachable && now-p.HeardAt+p.LogAge <= FreshFor {
			return true, ""
		}
	}
	return false, "neither the log nor a peer that reads it has answered"
}

// Ahead returns a reachable peer that has read further than this node.
func (t *Tracker) Ahead() (View, bool) {
	for i := range t.peers {
		if p := &t.peers[i]; p.Heard && p.Status != Unreachable && p.ReadOffset > t.readOffset {
			return p.View, true
		}
	}
	return View{}, false
}

// CaughtUp reports whether this node may serve: since its start it has once
// read as far as every reachable peer said. It stays true, since a running
// node is always a few records behind some peer.
func (t *Tracker) CaughtUp() bool { return t.caughtUp }

func (t *Tracker) catchUp(now time.Duration) {
	if t.caughtUp || !t.hasRead {
		return
	}
	if _, ahead := t.Ahead(); ahead {
		return
	}
	for i := range t.peers {
		p := &t.peers[i]
		if !p.Heard && p.Status != Unreachable {
			return
		}
	}
	t.caughtUp = len(t.peers) > 0 || now-t.started >= Interval
}
