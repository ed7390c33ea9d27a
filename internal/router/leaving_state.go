package router

import "time"

// leavingState is what a runner said last about whether it is about to go.
type leavingState struct {
	leaving bool
	// at is the time of the newest word that it leaves, or of the grant that
	// told this node.
	at time.Duration
}

// heard takes the word of a runner that is at least as new as a time. It
// returns whether the word counts: an older "not leaving" does not, since the
// runner may have begun to leave after it.
func (l *leavingState) heard(at time.Duration, leaving bool) bool {
	if !leaving && at <= l.at {
		return false
	}
	l.leaving = leaving
	if leaving {
		l.at = max(l.at, at)
	}
	return true
}
