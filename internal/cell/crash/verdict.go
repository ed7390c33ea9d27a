package crash

import (
	"slices"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

// Proves reports whether the crashes show that the task crashes its hosts. Only confirmed ones
// do: a submission that is given up stays so. alone is set if the task was alone on the last
// of them.
func (e *Evidence) Proves(alone bool) bool {
	if e.mostOfMember() < CrashesToFail {
		return false
	}
	inTouch := e.inTouch()
	return alone && e.seen() >= CrashesToFail || len(inTouch) >= crashesToFailBlamed && blame(inTouch) >= blameToFail || len(e.Confirmed) >= MaxCrashes
}

// Suspects reports whether the crashes, the unconfirmed ones included, make the task a
// suspected cause.
func (e *Evidence) Suspects() bool {
	crashes := e.suspicions()
	return len(crashes) >= crashesUnlessRecent || len(crashes) > 0 && crashes[0].Recent
}

// Late reports whether the task may crash its host long after its start.
func (e *Evidence) Late() bool {
	return slices.ContainsFunc(e.suspicions(), func(c cell.Crash) bool { return !c.Recent })
}

// Blame returns how much the crashes speak against the task, the unconfirmed ones included:
// each counts in equal parts for the submissions that may have caused it.
func (e *Evidence) Blame() float64 { return blame(e.suspicions()) }

// AwaitsConfirmation reports whether so many hosts may have crashed that the task would be
// given up if they had. It waits until one of them is settled, for confirmationTimeout at most.
func (e *Evidence) AwaitsConfirmation(now time.Duration) bool {
	if len(e.Unconfirmed) == 0 {
		return false
	}
	runs := make(map[int64]bool)
	for _, c := range e.Confirmed {
		runs[c.Run] = true
	}
	for _, c := range e.Unconfirmed {
		if now < c.recordedAt+confirmationTimeout {
			runs[c.Run] = true
		}
	}
	return len(runs) >= MaxCrashes
}

// mostOfMember returns how many hosts crashed under the same task, or the same member of a
// gang: a gang may lose hosts that have nothing in common.
func (e *Evidence) mostOfMember() (most int) {
	count := make(map[int]int)
	unknown := 0
	for _, c := range e.Confirmed {
		if c.Members == nil {
			unknown++
		}
		for _, i := range c.Members {
			count[i]++
			most = max(most, count[i])
		}
	}
	return most + unknown
}

// inTouch returns the crashes of hosts that had answered until then. The others count only
// towards MaxCrashes: their cause is unknown.
func (e *Evidence) inTouch() (out []cell.Crash) {
	for _, c := range e.Confirmed {
		if !c.Silent {
			out = append(out, c)
		}
	}
	return out
}

// seen returns how many hosts crashed on which the task was certainly present.
func (e *Evidence) seen() (n int) {
	for _, c := range e.Confirmed {
		if c.Seen {
			n++
		}
	}
	return n
}

// suspicions returns the crashes of hosts in touch, the unconfirmed ones included.
func (e *Evidence) suspicions() []cell.Crash {
	out := e.inTouch()
	for _, c := range e.Unconfirmed {
		counted := slices.ContainsFunc(out, func(o cell.Crash) bool { return o.Run == c.Run })
		if !c.Silent && !counted {
			out = append(out, c.Crash)
		}
	}
	return out
}

func blame(crashes []cell.Crash) (sum float64) {
	for _, c := range crashes {
		sum += 1 / float64(max(c.Suspects, 1))
	}
	return sum
}
