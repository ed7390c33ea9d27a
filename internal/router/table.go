package router

import (
	"slices"
	"strings"
	"time"
)

// Table holds the runners of one upstream as one node sees them.
type Table struct {
	options Options
	runners []*runnerState
	byID    map[string]*runnerState
	next    uint64
	turn    int
	waiting int
}

// NewTable returns a table without runners.
func NewTable(o Options) *Table {
	return &Table{options: o, byID: map[string]*runnerState{}}
}

// Add adds a runner or updates its address, zone and slots. It returns false
// if the table is full.
func (t *Table) Add(r Runner) bool {
	if old, ok := t.byID[r.ID]; ok {
		old.Runner, old.gone = r, false
		return true
	}
	if len(t.runners) >= MaxRunners {
		return false
	}
	s := &runnerState{Runner: r, inFlight: map[uint64]string{}, unknown: map[uint64]unknownSlot{}}
	t.byID[r.ID] = s
	t.runners = append(t.runners, s)
	slices.SortFunc(t.runners, func(a, b *runnerState) int { return strings.Compare(a.ID, b.ID) })
	return true
}

// SetLeaving marks whether a runner is about to go. A leaving runner gets no
// new request; those in flight continue.
func (t *Table) SetLeaving(id string, leaving bool) {
	if r, ok := t.byID[id]; ok {
		r.leaving = leaving
	}
}

// Gone removes a runner as soon as none of its slots is in use.
func (t *Table) Gone(id string) {
	if r, ok := t.byID[id]; ok {
		r.gone = true
		t.purge()
	}
}

func (t *Table) purge() {
	t.runners = slices.DeleteFunc(t.runners, func(r *runnerState) bool {
		if r.gone && r.inUse() == 0 {
			delete(t.byID, r.ID)
			return true
		}
		return false
	})
}

// Free returns the number of slots for new requests.
func (t *Table) Free(now time.Duration) int {
	free := 0
	for _, r := range t.runners {
		if r.eligible(now) {
			free += r.usable(now)
		}
	}
	return free
}

// Runners returns the runners in the order of their ids.
func (t *Table) Runners() []Runner {
	out := make([]Runner, len(t.runners))
	for i, r := range t.runners {
		out[i] = r.Runner
	}
	return out
}

// Pick takes a slot for a request: same zone first, then the lowest expected
// time. Runners in exclude are taken only if nothing else has a slot.
func (t *Table) Pick(now time.Duration, id string, exclude []string) (Pick, bool) {
	best := t.best(now, exclude)
	if best == nil && len(exclude) > 0 {
		best = t.best(now, nil)
	}
	if best == nil {
		return Pick{}, false
	}
	t.next++
	best.inFlight[t.next] = id
	best.peak = max(best.peak, best.inUse())
	if best.ejected {
		best.probing, best.probe = true, t.next
	}
	t.turn++
	return Pick{Runner: best.Runner, Attempt: t.next}, true
}

func (t *Table) best(now time.Duration, exclude []string) *runnerState {
	typical := t.typicalLatency()
	var best *runnerState
	for i := range t.runners {
		r := t.runners[(i+t.turn)%len(t.runners)]
		if r.eligible(now) && !slices.Contains(exclude, r.ID) && (best == nil || t.better(r, best, typical)) {
			best = r
		}
	}
	return best
}

func (t *Table) better(a, b *runnerState, typical time.Duration) bool {
	// A runner due for probation gets its one trial request before others.
	if a.ejected != b.ejected {
		return a.ejected
	}
	if az, bz := a.Zone == t.options.Zone, b.Zone == t.options.Zone; az != bz {
		return az
	}
	return a.cost(typical) < b.cost(typical)
}

// typicalLatency stands in for runners without a sample.
func (t *Table) typicalLatency() time.Duration {
	var sum, n time.Duration
	for _, r := range t.runners {
		if r.latency > 0 {
			sum, n = sum+r.latency, n+1
		}
	}
	if n == 0 {
		return time.Millisecond
	}
	return sum / n
}
