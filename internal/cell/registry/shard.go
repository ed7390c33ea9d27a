package registry

import (
	"sync"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/platform"
)

// shard holds the submissions and the tombstones of a part of the IDs.
type shard struct {
	mu         sync.RWMutex
	entries    map[string]*Entry
	tombstones tombstones
}

// accept adds a submission and returns a copy of its entry. A repeated submission counts
// once. added is set once its place in the log has been read.
func (s *shard) accept(id string, sub *cell.Submission, rec platform.Record, order readOrder, counted *storage) (copied Entry, added bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry(id)
	defer counted.count(e)
	switch {
	case e.Submission == nil:
		e.Submission, e.submissionBytes, e.Offset = sub, len(rec.Value), rec.Offset
		e.mayBeRepeated, e.ahead = order != inOrder, true
	case e.replaced:
		e.Submission, e.submissionBytes = sub, len(rec.Value)
	}
	e.replaced = false
	s.updateCancelled(e)
	if e.ahead && order != ahead {
		e.ahead, added = false, true
		e.Offset = min(e.Offset, rec.Offset)
	}
	return e.copied(), added
}

// cancel notes that the record of a cancellation is stored.
func (s *shard) cancel(id string, counted *storage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry(id)
	e.cancelStored = true
	s.updateCancelled(e)
	counted.count(e)
}

// entry returns the entry of a submission, a new one if there is none. The caller holds s.mu.
func (s *shard) entry(id string) *Entry {
	e := s.entries[id]
	if e == nil {
		e = &Entry{}
		s.entries[id] = e
	}
	return e
}

// updateCancelled sets whether a submission is cancelled, after a change of what is stored about
// it. The caller holds s.mu.
func (s *shard) updateCancelled(e *Entry) {
	e.Cancelled = e.cancelStored || e.Submission != nil && s.tombstones.cancel(e.Submission)
}
