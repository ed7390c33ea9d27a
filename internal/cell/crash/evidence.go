package crash

import (
	"slices"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

const (
	// crashesUnlessRecent is how often the host of a task has to crash, without the task having
	// started right before, until the task is suspected.
	crashesUnlessRecent = 2
	// CrashesToFail is how many crashes show that a task crashes its hosts if it was alone on the
	// last one. crashesToFailBlamed is how many do otherwise if few others may have caused them,
	// which is the case from blameToFail on, and MaxCrashes how many in any case, crashes of hosts
	// that were silent before included.
	CrashesToFail       = 2
	crashesToFailBlamed = 3
	blameToFail         = 1.5
	MaxCrashes          = 5
	// confirmationTimeout is how long a task under which too many hosts may have crashed
	// waits for one of them to answer.
	confirmationTimeout = 30 * time.Second
	// MaxUnconfirmed bounds the unconfirmed crashes of a task; the oldest are forgotten.
	MaxUnconfirmed = 64
)

// Evidence holds the crashes of hosts that a task, or a gang, may have caused.
type Evidence struct {
	// Confirmed are the crashes of hosts that are known to have restarted.
	Confirmed []cell.Crash
	// Unconfirmed are possible crashes. The task is suspected for them, but not given up.
	Unconfirmed []Unconfirmed
}

// Empty reports whether there is no evidence.
func (e *Evidence) Empty() bool { return len(e.Confirmed)+len(e.Unconfirmed) == 0 }

// Clear removes all evidence.
func (e *Evidence) Clear() { e.Confirmed, e.Unconfirmed = nil, nil }

// Add adds a crash under a run and reports whether that says something new. Of a gang that
// lost several hosts, one crash counts: the one that says most.
func (e *Evidence) Add(c cell.Crash) bool {
	i := slices.IndexFunc(e.Confirmed, func(o cell.Crash) bool { return o.Run == c.Run })
	if i < 0 {
		e.Confirmed = append(e.Confirmed, c)
		return true
	}
	o := e.Confirmed[i]
	members := joinMembers(o.Members, c.Members)
	if (c.Silent || !o.Silent) && len(members) == len(o.Members) {
		return false
	}
	if !o.Silent {
		c = o
	}
	c.Members = members
	e.Confirmed = append(slices.Delete(slices.Clone(e.Confirmed), i, i+1), c)
	return true
}

// AddUnconfirmed adds a possible crash and reports whether it is not there yet. Several members
// of a gang on one host count once.
func (e *Evidence) AddUnconfirmed(c cell.UnconfirmedCrash, now time.Duration) bool {
	for i := range e.Unconfirmed {
		if o := &e.Unconfirmed[i]; o.Run == c.Run && o.Host == c.Host {
			o.Members = joinMembers(o.Members, c.Members)
			return false
		}
	}
	e.Unconfirmed = append(e.Unconfirmed, Unconfirmed{c, now})
	if n := len(e.Unconfirmed); n > MaxUnconfirmed {
		e.Unconfirmed = slices.Clone(e.Unconfirmed[n-MaxUnconfirmed:])
	}
	return true
}

// TakeUnconfirmed removes the possible crashes of a host and returns them.
func (e *Evidence) TakeUnconfirmed(host string) (taken []Unconfirmed) {
	var left []Unconfirmed
	for _, c := range e.Unconfirmed {
		if c.Host.ID == host {
			taken = append(taken, c)
		} else {
			left = append(left, c)
		}
	}
	if len(taken) > 0 {
		e.Unconfirmed = left
	}
	return taken
}

// ForgetBefore removes the crashes under runs before one that has lasted, and those of silent
// hosts, and reports whether there were any.
func (e *Evidence) ForgetBefore(run int64) bool {
	n := len(e.Confirmed) + len(e.Unconfirmed)
	old := func(c cell.Crash) bool { return c.Silent || c.Run < run }
	// A stored copy may be read meanwhile.
	e.Confirmed = slices.DeleteFunc(slices.Clone(e.Confirmed), old)
	e.Unconfirmed = slices.DeleteFunc(e.Unconfirmed, func(c Unconfirmed) bool { return old(c.Crash) })
	return len(e.Confirmed)+len(e.Unconfirmed) < n
}

// Counts reports whether a crash under a run is counted already. One of a silent host gives
// way to another one.
func (e *Evidence) Counts(run int64, silent bool) bool {
	return slices.ContainsFunc(e.Confirmed, func(c cell.Crash) bool { return c.Run == run && (silent || !c.Silent) })
}

// Stored returns the unconfirmed crashes as they are stored.
func (e *Evidence) Stored() []cell.UnconfirmedCrash {
	out := make([]cell.UnconfirmedCrash, len(e.Unconfirmed))
	for i, c := range e.Unconfirmed {
		out[i] = c.UnconfirmedCrash
	}
	return out
}

// joinMembers returns the indexes of gang members in either list.
func joinMembers(a, b []int) []int {
	out := slices.Clone(a)
	for _, i := range b {
		if !slices.Contains(out, i) {
			out = append(out, i)
		}
	}
	return out
}
