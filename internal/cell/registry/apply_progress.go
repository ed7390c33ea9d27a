package registry

import (
	"strconv"
	"strings"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/platform"
)

// applyProgressKey applies the record of a progress, or of one of its parts.
func (r *Registry) applyProgressKey(name string, rec platform.Record) error {
	id, part, divided := strings.Cut(name, partSeparator)
	if !divided {
		return r.applyProgress(id, rec)
	}
	number, err := strconv.Atoi(part)
	if err != nil || number < 0 || number >= cell.MaxProgressParts || strconv.Itoa(number) != part {
		return cell.NewFieldError(object(rec), "key", rec.Key, "a part of a progress")
	}
	return r.applyProgressPart(id, number, rec)
}

func (r *Registry) applyProgress(id string, rec platform.Record) error {
	if len(rec.Value) == 0 {
		return nil // the record that deletes the submission follows
	}
	// It is decoded into a new value, because maps of the old one may be in use.
	p, err := decodeProgress(rec)
	if err != nil {
		return err
	}
	s := r.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry(id)
	if rec.Offset < e.progressOffset {
		return nil
	}
	defer r.storage.count(e)
	e.progressOffset = rec.Offset
	e.Progress, e.progressBytes = p, len(rec.Value)
	r.countOwnerWrite()
	if p.State.Final() {
		e.parts, e.partsBytes = nil, 0
		if e.Submission != nil {
			e.Submission = e.Submission.Summary()
		}
	}
	return nil
}

// applyProgressPart applies the record of a part of a divided progress.
func (r *Registry) applyProgressPart(id string, number int, rec platform.Record) error {
	s := r.shard(id)
	if len(rec.Value) == 0 {
		s.mu.Lock()
		defer s.mu.Unlock()
		if e := s.entries[id]; e != nil {
			e.deletePart(number)
			r.storage.count(e)
		}
		return nil
	}
	p, err := decodeProgressPart(rec)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry(id)
	if rec.Offset < e.parts[number].offset || e.Progress.State.Final() {
		return nil
	}
	e.setPart(number, progressPart{p, rec.Offset, len(rec.Value)})
	r.storage.count(e)
	r.countOwnerWrite()
	return nil
}
