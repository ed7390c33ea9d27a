package router

import (
	"slices"
	"time"
)

// maxReleased bounds the released attempts that are recorded for one id. Once it
// is reached, the id is granted to no further attempt.
const maxReleased = 8

// voterEntry is the record of one request id.
type voterEntry struct {
	key      voterKey
	expires  time.Duration
	holder   string
	released []string
	end      *RecordedResult
}

// voterExpiry is an element of the expiry queue. It is outdated if a later grant
// or result has extended the expiry of the entry.
type voterExpiry struct {
	entry *voterEntry
	at    time.Duration
}

// release makes the id available to other attempts. The released attempt is never
// granted again, since a delayed copy of its reservation may still arrive.
func (e *voterEntry) release(attempt string) {
	if !slices.Contains(e.released, attempt) {
		e.released = append(e.released, attempt)
	}
	if e.holder == attempt {
		e.holder = ""
	}
}
