package dispatch

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/lease"
	"github.com/medlarpulley/medlarpulley/internal/scheduler"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// heldJob is a job that the previous owner knew. Tasks that no adopted host
// has reported may run on a host that is not adopted yet. They are held until
// all hosts of the previous owner are adopted or its leases are over.
type heldJob struct {
	parts []scheduler.JobAdded
	until time.Duration
	// released are the tasks that were given to the scheduler one by one,
	// because an adopted host reported them.
	released map[int32]bool
	// cancelled is set if the job was cancelled while it was held.
	cancelled bool
}

// AddJob adds a part of a job. If the previous owner may have started tasks of
// it, the part is held until its state is known.
func (s *Shard) AddJob(added scheduler.JobAdded, previousOwnerKnew bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	added.Settled = true
	if !previousOwnerKnew || len(s.initial) == 0 {
		s.apply(added)
		s.decideSoon()
		return
	}
	h := s.held[added.Job.ID]
	if h == nil {
		h = &heldJob{until: s.o.SafeAt + lease.Bound(added.Job.Lease), released: map[int32]bool{}}
		s.held[added.Job.ID] = h
	}
	h.parts = append(h.parts, added)
	s.updateAllotments()
}

// releaseTask gives one task of a held job to the scheduler, before an event
// about the task. The lock must be held.
func (s *Shard) releaseTask(id work.TaskID) {
	h := s.held[id.Job]
	if h == nil || h.released[id.Index] {
		return
	}
	for _, part := range h.parts {
		if id.Index < part.First || id.Index >= part.First+part.Count {
			continue
		}
		h.released[id.Index] = true
		s.apply(slice(part, id.Index, 1))
		return
	}
}

// releaseHeld gives the jobs whose state is known to the scheduler. The lock
// must be held.
func (s *Shard) releaseHeld(now time.Duration) {
	for id, h := range s.held {
		if len(s.initial) > 0 && now < h.until {
			continue
		}
		delete(s.held, id)
		for _, part := range h.parts {
			s.releaseRest(part, h.released)
		}
		if h.cancelled {
			s.apply(scheduler.JobCancelled{Job: id})
		}
		s.updateAllotments()
		s.decideSoon()
	}
}

// releaseRest adds the ranges of a part that were not released before.
func (s *Shard) releaseRest(part scheduler.JobAdded, released map[int32]bool) {
	first := part.First
	for i := part.First; i <= part.First+part.Count; i++ {
		if i < part.First+part.Count && !released[i] {
			continue
		}
		if i > first {
			s.apply(slice(part, first, i-first))
		}
		first = i + 1
	}
}

// slice returns the part of added that covers a range of its tasks.
func slice(added scheduler.JobAdded, first, count int32) scheduler.JobAdded {
	added.First, added.Count = first, count
	return added
}
