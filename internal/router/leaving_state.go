package router

import "time"

// leavingState is the newest report about whether a runner is leaving.
type leavingState struct {
	leaving bool
	// asOf is the time of the newest report that the runner is leaving, or the
	// send time of the demand whose grant carried the report.
	asOf time.Duration
}

// update applies a report that is at least as new as at, and returns whether it
// was applied. A "not leaving" that is not newer than asOf is ignored, since the
// runner may have begun to leave after it.
func (l *leavingState) update(at time.Duration, leaving bool) bool {
	if !leaving && at <= l.asOf {
		return false
	}
	l.leaving = leaving
	if leaving {
		l.asOf = max(l.asOf, at)
	}
	return true
}
