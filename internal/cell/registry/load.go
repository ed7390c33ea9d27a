package registry

import (
	"github.com/medlarpulley/medlarpulley/internal/cell/admission"
	"github.com/medlarpulley/medlarpulley/platform"
)

// Load is the last summary of the work that waits, and the offset of its record; zero if there
// is none.
type Load struct {
	Summary admission.Summary
	Offset  uint64
}

// LoadRecord returns the record of a summary of the work that waits.
func LoadRecord(s admission.Summary) platform.Record {
	return platform.Record{Key: keyLoad, Value: s.Encode()}
}

// applyLoad keeps a summary. One that cannot be decoded leaves none: a later one may hold what
// the earlier one lacks.
func (r *Registry) applyLoad(rec platform.Record) error {
	var l Load
	var err error
	if len(rec.Value) > 0 {
		if l.Summary, err = admission.Decode(rec.Value); err == nil {
			l.Offset = rec.Offset
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.load = l
	return err
}

// Load returns the last summary of the present owner; false if there is none, or it is that of
// another owner.
func (r *Registry) Load() (Load, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.load, r.load.Summary.Token != 0 && r.load.Summary.Token == r.owner.Token && !r.owner.Released
}
