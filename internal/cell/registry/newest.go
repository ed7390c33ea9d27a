package registry

import (
	"maps"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/platform"
)

// readOrder is how a record was read.
type readOrder uint8

const (
	// inOrder is set if all records before it have been applied.
	inOrder readOrder = iota
	// amongNewest is set for a newest record before the end from which the topic is read on.
	amongNewest
	// ahead is set for a newest record from that end on. It is read again in its order.
	ahead
)

// ApplyNewest applies a newest record after BeginNewest. The topic is read on from end.
func (r *Registry) ApplyNewest(rec platform.Record, end uint64) {
	order := amongNewest
	if rec.Offset >= end {
		order = ahead
	}
	r.apply(rec, order)
}

// BeginNewest prepares the registry for the newest record of each key, which ApplyNewest applies
// after it in any order: it forgets what has no record any more, since that was deleted while
// the topic was not read. The records have to be read later than everything that was applied
// before. A key that was stored while they were read may be missing from them; the registry
// does not hold it yet, and its record is read after them.
func (r *Registry) BeginNewest(records []platform.Record) {
	present := make(map[string]bool, len(records))
	for _, rec := range records {
		if len(rec.Value) > 0 {
			present[rec.Key] = true
		}
	}
	r.mu.Lock()
	r.ownerOffset = 0
	r.runTimes.offset = 0
	if !present[keyRunTimes] {
		r.runTimes.value = nil
	}
	r.load = Load{}
	maps.DeleteFunc(r.hosts, func(id string, _ Host) bool { return !present[prefixHost+id] })
	r.mu.Unlock()
	removed := 0
	for i := range r.shards {
		removed += r.shards[i].beginNewest(present, &r.storage)
	}
	if removed > 0 {
		r.log.Info("Submissions were deleted while the topic was not read; they are forgotten.", "count", removed)
	}
}

// beginNewest removes the entries of submissions whose records are gone, and returns their
// number.
func (s *shard) beginNewest(present map[string]bool, counted *storage) (removed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beginNewestTombstones(present, counted)
	for id, e := range s.entries {
		if !present[prefixSubmission+id] && !present[prefixProgress+id] {
			counted.remove(e)
			delete(s.entries, id)
			removed++
			continue
		}
		e.beginNewest(id, present)
		s.updateCancelled(e)
		counted.count(e)
	}
	return removed
}

// beginNewest forgets what is stored about a submission no more. It may have been deleted,
// and submitted again under its ID.
func (e *Entry) beginNewest(id string, present map[string]bool) {
	if !present[prefixSubmission+id] {
		e.Submission, e.Offset = nil, 0
	}
	if !present[prefixProgress+id] {
		e.Progress = cell.Progress{}
	}
	e.cancelStored = e.cancelStored && present[prefixCancel+id]
	for number, part := range e.parts {
		if !present[progressPartKey(id, number)] {
			e.deletePart(number)
			continue
		}
		part.offset = 0
		e.setPart(number, part)
	}
	e.progressOffset = 0
	e.replaced = e.Submission != nil
}

// HasAhead reports whether submissions were read ahead of their place in the log.
func (r *Registry) HasAhead() bool {
	for i := range r.shards {
		if r.shards[i].hasAhead() {
			return true
		}
	}
	return false
}

func (s *shard) hasAhead() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, e := range s.entries {
		if e.Submission != nil && e.ahead {
			return true
		}
	}
	return false
}
