package registry

import "github.com/medlarpulley/medlarpulley/platform"

// applySubmission adds a submission, or removes it if the record has no value.
func (r *Registry) applySubmission(id string, rec platform.Record, order readOrder) error {
	s := r.shard(id)
	if len(rec.Value) == 0 {
		s.mu.Lock()
		defer s.mu.Unlock()
		if e := s.entries[id]; e != nil {
			r.storage.remove(e)
			delete(s.entries, id)
		}
		return nil
	}
	sub, err := decodeSubmission(id, rec)
	if err != nil {
		return err
	}
	copied, added := s.accept(id, sub, rec, order, &r.storage)
	if l := r.currentListener(); l != nil && added {
		l.Submitted(copied)
	}
	return nil
}

// applyCancel notes a cancellation. The record that deletes it is followed by that which deletes
// the submission.
func (r *Registry) applyCancel(id string, rec platform.Record) error {
	if len(rec.Value) == 0 {
		return nil
	}
	if err := decodeCancel(rec); err != nil {
		return err
	}
	s := r.shard(id)
	s.cancel(id, &r.storage)
	if l := r.currentListener(); l != nil {
		l.CancelRequested(id)
	}
	return nil
}
