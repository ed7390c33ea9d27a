package lending

import "time"

// minWindow is a sliding-window minimum over at least IdleThreshold. It keeps the
// minimum of the current and of the previous interval of that length.
type minWindow struct {
	start                   time.Duration
	previousMin, currentMin int64
	// hasPrevious reports whether previousMin is set, any whether a value was
	// added.
	hasPrevious, any bool
}

func (w minWindow) add(now time.Duration, v int64) minWindow {
	if !w.any {
		return minWindow{start: now, currentMin: v, any: true}
	}
	if now-w.start >= IdleThreshold {
		// The interval that just ended lasted at least IdleThreshold.
		w.previousMin, w.hasPrevious = min(w.currentMin, v), true
		w.start, w.currentMin = now, v
	}
	w.currentMin = min(w.currentMin, v)
	return w
}

// minimum returns the smallest value in the window; zero until IdleThreshold has
// been observed.
func (w minWindow) minimum() int64 {
	if !w.hasPrevious {
		return 0
	}
	return min(w.previousMin, w.currentMin)
}
