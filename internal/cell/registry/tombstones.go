package registry

import (
	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/platform"
)

// tombstones holds the tombstones of one shard by the ID of the submission and by their key.
type tombstones map[string]map[string]Tombstone

// set adds a tombstone. It reports false if it was known.
func (l tombstones) set(id, key string, t Tombstone) (added bool) {
	if l[id] == nil {
		l[id] = make(map[string]Tombstone)
	}
	_, known := l[id][key]
	l[id][key] = t
	return !known
}

// remove removes a tombstone, and returns it; ok is false if it was not known.
func (l tombstones) remove(id, key string) (t Tombstone, ok bool) {
	t, ok = l[id][key]
	delete(l[id], key)
	if len(l[id]) == 0 {
		delete(l, id)
	}
	return t, ok
}

// cancel reports whether a tombstone concerns a submission.
func (l tombstones) cancel(s *cell.Submission) bool {
	for _, t := range l[s.ID] {
		if t.Owns(s) {
			return true
		}
	}
	return false
}

// applyTombstone adds or removes a tombstone. The owner removes none before the final progress of
// the submission that it cancelled is stored.
func (r *Registry) applyTombstone(rec platform.Record) error {
	id := tombstoneID(rec.Key)
	if id == "" {
		return cell.NewFieldError(object(rec), "key", rec.Key, "the key of a tombstone")
	}
	s := r.shard(id)
	if len(rec.Value) == 0 {
		s.removeTombstone(id, rec.Key, &r.storage)
		return nil
	}
	var t Tombstone
	if err := decode(rec, &t); err != nil {
		return err
	}
	cancelled := s.addTombstone(id, rec.Key, t, &r.storage)
	if l := r.currentListener(); l != nil && cancelled {
		l.CancelRequested(id)
	}
	return nil
}

// addTombstone reports whether the tombstone concerns a submission that has been read.
func (s *shard) addTombstone(id, key string, t Tombstone, counted *storage) (cancelled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tombstones.set(id, key, t) {
		counted.add(t.Team, TombstoneBytes)
	}
	e := s.entries[id]
	if e == nil || e.Submission == nil || !t.Owns(e.Submission) {
		return false
	}
	s.updateCancelled(e)
	return true
}

func (s *shard) removeTombstone(id, key string, counted *storage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, known := s.tombstones.remove(id, key)
	if !known {
		return
	}
	counted.add(t.Team, -TombstoneBytes)
	if e := s.entries[id]; e != nil {
		s.updateCancelled(e)
	}
}

// beginNewestTombstones forgets the tombstones that have no record any more. The caller holds
// s.mu.
func (s *shard) beginNewestTombstones(present map[string]bool, counted *storage) {
	for id, byKey := range s.tombstones {
		for key, t := range byKey {
			if !present[key] {
				s.tombstones.remove(id, key)
				counted.add(t.Team, -TombstoneBytes)
			}
		}
	}
}

// TombstoneKeys returns the keys of all tombstones.
func (r *Registry) TombstoneKeys() (keys []string) {
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.RLock()
		for _, byKey := range s.tombstones {
			for key := range byKey {
				keys = append(keys, key)
			}
		}
		s.mu.RUnlock()
	}
	return keys
}
