package router

import (
	"slices"
	"time"
)

// maxReleased bounds the released attempts remembered for one id. An id with
// more is granted no further attempt.
const maxReleased = 8

// voterEntry is what a voter remembers of one id.
type voterEntry struct {
	key      voterKey
	expires  time.Duration
	holder   string
	released []string
	end      *End
}

// voterExpiry is the time at which an entry may be forgotten, unless a later
// grant or end has moved its own time on.
type voterExpiry struct {
	entry *voterEntry
	at    time.Duration
}

// release gives the id back. The attempt can never be granted again, since
// its reservation may still be under way.
func (e *voterEntry) release(attempt string) {
	if !slices.Contains(e.released, attempt) {
		e.released = append(e.released, attempt)
	}
	if e.holder == attempt {
		e.holder = ""
	}
}
