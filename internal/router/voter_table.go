package router

import (
	"crypto/sha256"
	"slices"
	"time"
)

const (
	// ReservationMemory is how long a voter remembers an id.
	ReservationMemory = 10 * time.Minute
	// DefaultVoterEntries bounds the ids that one voter remembers. Every voter
	// remembers the ids of all nodes for ten minutes, so this allows 333
	// non-idempotent requests a second over the fleet.
	DefaultVoterEntries = 200_000
	// DefaultVoterBytes bounds the recorded answers of one voter, in bytes.
	DefaultVoterBytes = 16 << 20
)

// VoterTable grants each request id once.
type VoterTable struct {
	max, maxBytes int
	bytes         int
	entries       map[voterKey]*voterEntry
	// queue holds the entries in the order of their expiry.
	queue []voterExpiry
}

// NewVoterTable returns a table bounded to a number of ids and of bytes of
// recorded answers.
func NewVoterTable(maxEntries, maxBytes int) *VoterTable {
	return &VoterTable{max: maxEntries, maxBytes: maxBytes, entries: map[voterKey]*voterEntry{}}
}

// CanVote tells whether a node remembers every id of the last ten minutes: it
// is a founder or started long enough ago.
func CanVote(now, started time.Duration, founder bool) bool {
	return founder || now-started >= ReservationMemory
}

// voterKey is a hash that no caller can make collide with another team's id.
type voterKey [16]byte

func newVoterKey(team, id string) voterKey {
	sum := sha256.Sum256([]byte(team + "\x00" + id))
	return voterKey(sum[:16])
}

// Reserve asks for an id on behalf of an attempt. The caller has checked that
// the node can vote and that the members offsets agree.
func (v *VoterTable) Reserve(now time.Duration, team, id, attempt string) Vote {
	v.expire(now)
	key := newVoterKey(team, id)
	e := v.entries[key]
	if e == nil {
		e = v.add(now, key)
		if e == nil {
			return Vote{Abstained: true}
		}
	}
	switch {
	case e.end != nil:
		return Vote{Finished: true, End: *e.end}
	case e.holder == attempt:
		return Vote{Granted: true}
	case e.holder != "", slices.Contains(e.released, attempt), len(e.released) >= maxReleased:
		return Vote{}
	}
	e.holder = attempt
	v.remember(now, e)
	return Vote{Granted: true}
}

// Finish records the end of a request, or gives its id back if it certainly
// did not run. A recorded end is never replaced.
func (v *VoterTable) Finish(now time.Duration, team, id, attempt string, end End, released bool) {
	v.expire(now)
	key := newVoterKey(team, id)
	e := v.entries[key]
	if e == nil {
		if e = v.add(now, key); e == nil {
			return
		}
	}
	if released {
		e.release(attempt)
		return
	}
	if e.end != nil {
		return
	}
	if len(end.Body) > MaxEndBody || v.bytes+len(end.Body) > v.maxBytes {
		end.Body, end.Partial = nil, true
	}
	e.holder, e.end = attempt, &end
	v.bytes += len(end.Body)
	v.remember(now, e)
}

func (v *VoterTable) add(now time.Duration, key voterKey) *voterEntry {
	if len(v.entries) >= v.max {
		return nil
	}
	e := &voterEntry{key: key}
	v.entries[key] = e
	v.remember(now, e)
	return e
}

// remember keeps an entry for ten minutes from now. An id that was tried and
// released long ago is remembered for as long as its newest attempt needs.
func (v *VoterTable) remember(now time.Duration, e *voterEntry) {
	if at := now + ReservationMemory; at != e.expires {
		e.expires = at
		v.queue = append(v.queue, voterExpiry{e, at})
	}
}

func (v *VoterTable) expire(now time.Duration) {
	n := 0
	for n < len(v.queue) && now >= v.queue[n].at {
		e := v.queue[n].entry
		n++
		if e.expires > now || v.entries[e.key] != e {
			continue
		}
		delete(v.entries, e.key)
		if e.end != nil {
			v.bytes -= len(e.end.Body)
		}
	}
	if n > 0 {
		v.queue = slices.Delete(v.queue, 0, n)
	}
}

// Len returns the number of ids remembered.
func (v *VoterTable) Len() int { return len(v.entries) }
