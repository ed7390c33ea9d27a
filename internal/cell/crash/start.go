package crash

import "time"

const (
	// Window is how long before a crash a run may have started to be the suspected cause. If
	// no run has, every run on the host may be the cause.
	Window = 150 * time.Millisecond
	// sameOrders is the time between the starts of orders that are sent together. Of the
	// runs in the window the last ones are suspected most: a run that crashes its host at
	// its start leaves no time for later ones.
	sameOrders = 30 * time.Millisecond
)

// Start is what is known of the start of a run on a host that crashed.
type Start struct {
	// At is when the run became known to be present; zero if its start had no answer.
	At time.Duration
	// Unknown is set if an earlier owner ordered the run started, so that nobody knows when
	// it did. That says nothing against it.
	Unknown bool
}

// mayBeSince reports whether the run may have started after a time.
func (s Start) mayBeSince(t time.Duration) bool { return !s.Unknown && (s.At == 0 || s.At >= t) }

// Suspects returns which of the runs on a host may be the cause of its crash, which was not
// before a time.
func Suspects(starts []Start, notBefore time.Duration) []Suspicion {
	var last time.Duration
	any := false
	for _, s := range starts {
		if s.mayBeSince(notBefore - Window) {
			any, last = true, max(last, s.At)
		}
	}
	out := make([]Suspicion, len(starts))
	for i, s := range starts {
		inWindow := s.mayBeSince(notBefore - Window)
		out[i] = Suspicion{
			Suspected: !any || inWindow,
			Recent:    any && inWindow && (s.At == 0 || s.At >= last-sameOrders),
		}
	}
	return out
}

// SuspectsOfSilent returns the same for a host that had not answered since a time: what has
// started since then may be the cause.
func SuspectsOfSilent(starts []Start, answeredAt time.Duration) []Suspicion {
	out := make([]Suspicion, len(starts))
	for i, s := range starts {
		out[i].Suspected = s.mayBeSince(answeredAt - Window)
	}
	return out
}
