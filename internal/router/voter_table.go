package router

import (
	"crypto/sha256"
	"slices"
	"time"
)

const (
	// ReservationRetention is the time for which a voter keeps an id.
	ReservationRetention = 10 * time.Minute
	// DefaultVoterEntries bounds the ids that one voter keeps. Every voter keeps
	// the ids of all nodes for ten minutes, so this allows 333 non-idempotent
	// requests per second over the cluster.
	DefaultVoterEntries = 200_000
	// DefaultVoterBytes bounds the recorded response bodies of one voter, in bytes.
	DefaultVoterBytes = 16 << 20
)

// VoterTable holds the votes of one member on request ids. It must not grant an
// id to a second attempt while it keeps the id, unless the first was released.
type VoterTable struct {
	// max is the maximum number of entries, maxBytes that of recorded body bytes.
	max, maxBytes int
	bytes         int
	entries       map[voterKey]*voterEntry
	// queue holds the expiries in ascending order of time.
	queue []voterExpiry
}

// NewVoterTable returns an empty table that keeps at most maxEntries ids and
// maxBytes bytes of recorded response bodies.
func NewVoterTable(maxEntries, maxBytes int) *VoterTable {
	return &VoterTable{max: maxEntries, maxBytes: maxBytes, entries: map[voterKey]*voterEntry{}}
}

// CanVote reports whether a node knows every id of the last ten minutes: it is an
// initial member of the cluster or was started at least ReservationRetention ago.
func CanVote(now, started time.Duration, initialMember bool) bool {
	return initialMember || now-started >= ReservationRetention
}

// voterKey is a hash of team and id. It is cryptographic, so that no caller can
// produce a collision with the id of another team.
type voterKey [16]byte

func newVoterKey(team, id string) voterKey {
	sum := sha256.Sum256([]byte(team + "\x00" + id))
	return voterKey(sum[:16])
}

// Reserve votes on granting an id to an attempt. It abstains if the table is
// full. The caller must have checked that the node can vote and that the members
// offsets agree.
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
	v.extendExpiry(now, e)
	return Vote{Granted: true}
}

// Finish records the result of a request, or releases its id if released is true,
// which means that the request certainly did not run. A recorded result is never
// replaced.
func (v *VoterTable) Finish(now time.Duration, team, id, attempt string, end RecordedResult, released bool) {
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
	if len(end.Body) > MaxRecordedBody || v.bytes+len(end.Body) > v.maxBytes {
		end.Body, end.Partial = nil, true
	}
	e.holder, e.end = attempt, &end
	v.bytes += len(end.Body)
	v.extendExpiry(now, e)
}

func (v *VoterTable) add(now time.Duration, key voterKey) *voterEntry {
	if len(v.entries) >= v.max {
		return nil
	}
	e := &voterEntry{key: key}
	v.entries[key] = e
	v.extendExpiry(now, e)
	return e
}

// extendExpiry keeps an entry for ReservationRetention from now. An id that was
// reserved and released earlier is thus kept for the whole time that its newest
// attempt needs.
func (v *VoterTable) extendExpiry(now time.Duration, e *voterEntry) {
	if at := now + ReservationRetention; at != e.expires {
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

// Len returns the number of ids in the table.
func (v *VoterTable) Len() int { return len(v.entries) }
