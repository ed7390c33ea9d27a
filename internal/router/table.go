package router

import (
	"slices"
	"strings"
	"time"
)

// Table holds one node's state of the runners of one upstream and selects the
// runner of each request. It must not start more requests on a runner than the
// node has leased slots.
type Table struct {
	options     Options
	runners     []*runnerState
	byID        map[string]*runnerState
	lastAttempt uint64
	// rotation changes the first runner that is considered, so that runners of
	// equal cost take turns.
	rotation int
	waiting  int
}

// NewTable returns a Table without runners.
func NewTable(o Options) *Table {
	return &Table{options: o, byID: map[string]*runnerState{}}
}

// Add adds a runner or updates its address, zone and slots. It returns false
// if the table is full.
func (t *Table) Add(r Runner) bool {
	if old, ok := t.byID[r.ID]; ok {
		old.Runner, old.delisted = r, false
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

// SetLeaving sets whether the platform's list marks a runner as leaving. A
// leaving runner gets no new requests; those in flight continue.
func (t *Table) SetLeaving(id string, leaving bool) {
	if r, ok := t.byID[id]; ok {
		r.leaving = leaving
	}
}

// Delist marks a runner as delisted. It is removed once none of its slots is in
// use.
func (t *Table) Delist(id string) {
	if r, ok := t.byID[id]; ok {
		r.delisted = true
		t.removeDrained()
	}
}

// removeDrained removes delisted runners that have no slot in use.
func (t *Table) removeDrained() {
	t.runners = slices.DeleteFunc(t.runners, func(r *runnerState) bool {
		if r.delisted && r.inUse() == 0 {
			delete(t.byID, r.ID)
			return true
		}
		return false
	})
}

// Free returns the number of slots that are free for new requests.
func (t *Table) Free(now time.Duration) int {
	free := 0
	for _, r := range t.runners {
		if r.eligible(now) {
			free += r.freeSlots(now)
		}
	}
	return free
}

// Runners returns the runners, ordered by id.
func (t *Table) Runners() []Runner {
	out := make([]Runner, len(t.runners))
	for i, r := range t.runners {
		out[i] = r.Runner
	}
	return out
}

// Pick allocates a slot to a request. It prefers runners of the node's zone, then
// the lowest expected time. Runners in exclude are used only if no other runner
// has a free slot.
func (t *Table) Pick(now time.Duration, id string, exclude []string) (Pick, bool) {
	best := t.best(now, exclude)
	if best == nil && len(exclude) > 0 {
		best = t.best(now, nil)
	}
	if best == nil {
		return Pick{}, false
	}
	t.lastAttempt++
	best.inFlight[t.lastAttempt] = id
	best.peakInUse = max(best.peakInUse, best.inUse())
	if best.ejected {
		best.trialInFlight, best.trialAttempt = true, t.lastAttempt
	}
	t.rotation++
	return Pick{Runner: best.Runner, Attempt: t.lastAttempt}, true
}

func (t *Table) best(now time.Duration, exclude []string) *runnerState {
	defaultLatency := t.meanLatency()
	var best *runnerState
	for i := range t.runners {
		r := t.runners[(i+t.rotation)%len(t.runners)]
		if r.eligible(now) && !slices.Contains(exclude, r.ID) && (best == nil || t.better(r, best, defaultLatency)) {
			best = r
		}
	}
	return best
}

func (t *Table) better(a, b *runnerState, defaultLatency time.Duration) bool {
	// A runner that is due for its trial request is preferred.
	if a.ejected != b.ejected {
		return a.ejected
	}
	if az, bz := a.Zone == t.options.Zone, b.Zone == t.options.Zone; az != bz {
		return az
	}
	return a.cost(defaultLatency) < b.cost(defaultLatency)
}

// meanLatency returns the mean over the runners that have a latency sample. It is
// assumed for runners without one.
func (t *Table) meanLatency() time.Duration {
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
