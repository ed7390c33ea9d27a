package front

import (
	"sync"
	"time"
)

const (
	// unknownOutcomeAge is how long a submission with an unknown outcome is remembered. An open
	// append of this node is known for as long as it is open, see RecordAppender.MayStore; of one
	// at another node no bound is known. Callers come back within a minute.
	unknownOutcomeAge = 5 * time.Minute
	// maxUnknownOutcomes bounds the memory for them, about 150 bytes each.
	maxUnknownOutcomes = 16384
)

// attempts remembers the submissions that a call in progress may store, and those with an
// unknown outcome. None of them may be refused. It is safe for concurrent use; the zero value is
// empty.
type attempts struct {
	mu   sync.Mutex
	byID map[string]*attempt
	// unknown holds each ID with an unknown outcome once, in the order in which they were noted
	// or put back.
	unknown []unknownOutcome
	// fullUntil is the end of the time in which some ID is missing, since there was no room.
	fullUntil time.Time
}

// attempt is what is remembered of one submission.
type attempt struct {
	// open counts the calls in progress, begun all calls that began since it is remembered.
	open, begun int
	// unknownUntil is the end of the time for which its unknown outcome is remembered.
	unknownUntil time.Time
	// listed is set while attempts.unknown holds the ID.
	listed bool
}

type unknownOutcome struct {
	id    string
	until time.Time
}

// begin notes that a call for a submission begins. It returns what state does.
func (a *attempts) begin(id string, now time.Time) (begun int, mayBeStored bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(now)
	if a.byID == nil {
		a.byID = make(map[string]*attempt)
	}
	e := a.byID[id]
	if e == nil {
		e = &attempt{}
		a.byID[id] = e
	}
	e.open++
	e.begun++
	return e.begun, a.mayBeStored(e, now)
}

// mayBeStored reports whether another call than the one that asks may have stored a submission.
// The caller holds a.mu.
func (a *attempts) mayBeStored(e *attempt, now time.Time) bool {
	return e.open > 1 || now.Before(e.unknownUntil) || now.Before(a.fullUntil)
}

// end notes that a call has ended, and whether its outcome is unknown.
func (a *attempts) end(id string, unknown bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(now)
	e := a.byID[id]
	e.open--
	if unknown {
		until := now.Add(unknownOutcomeAge)
		switch {
		case e.listed:
			e.unknownUntil = until // expire puts the ID back
		case len(a.unknown) >= maxUnknownOutcomes:
			a.fullUntil = until
		default:
			e.unknownUntil, e.listed = until, true
			a.unknown = append(a.unknown, unknownOutcome{id, until})
		}
	}
	a.forget(id, e)
}

// expire forgets the outcomes that are no longer remembered, and puts back those that were noted
// again. The caller holds a.mu.
func (a *attempts) expire(now time.Time) {
	for len(a.unknown) > 0 && !now.Before(a.unknown[0].until) {
		id := a.unknown[0].id
		a.unknown = a.unknown[1:]
		e := a.byID[id]
		if now.Before(e.unknownUntil) {
			a.unknown = append(a.unknown, unknownOutcome{id, e.unknownUntil})
			continue
		}
		e.listed = false
		a.forget(id, e)
	}
}

// forget removes an entry that says nothing any more. The caller holds a.mu.
func (a *attempts) forget(id string, e *attempt) {
	if e.open == 0 && !e.listed {
		delete(a.byID, id)
	}
}

// state returns how many calls for a submission have begun since it is remembered, and whether
// a call other than one in progress may have stored it or may still do so.
func (a *attempts) state(id string, now time.Time) (begun int, mayBeStored bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.byID[id]
	if e == nil {
		return 0, now.Before(a.fullUntil)
	}
	return e.begun, a.mayBeStored(e, now)
}

// unknownOutcomes returns how many unknown outcomes are remembered.
func (a *attempts) unknownOutcomes() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.unknown)
}
