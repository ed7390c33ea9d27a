package lending

import "time"

// window keeps the smallest value over at least IdleTime, in two halves.
type window struct {
	start     time.Duration
	old, cur  int64
	full, any bool
}

func (w window) add(now time.Duration, v int64) window {
	if !w.any {
		return window{start: now, cur: v, any: true}
	}
	if now-w.start >= IdleTime {
		// The half that just ended lasted IdleTime.
		w.old, w.full = min(w.cur, v), true
		w.start, w.cur = now, v
	}
	w.cur = min(w.cur, v)
	return w
}

// low returns the smallest value; zero until IdleTime has been observed.
func (w window) low() int64 {
	if !w.full {
		return 0
	}
	return min(w.old, w.cur)
}
