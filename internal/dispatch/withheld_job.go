package dispatch

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/lease"
	"github.com/medlarpulley/medlarpulley/internal/scheduler"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// withheldJob is a job that the previous owner knew. Tasks that no adopted host
// has reported may run on a host that is not adopted yet. They are withheld from
// the scheduler until all hosts of the previous owner are adopted or the leases
// that it granted have expired.
type withheldJob struct {
	parts []scheduler.JobAdded
	// leasesExpireBy is when, on the owner's clock, every lease that the previous
	// owner granted to the job has expired.
	leasesExpireBy time.Duration
	// released are the tasks that were passed to the scheduler one by one,
	// because an adopted host reported them.
	released map[int32]bool
	// cancelled is set if the job was cancelled while it was withheld.
	cancelled bool
}

// AddJob adds a part of a job. If the previous owner may have started some of its
// tasks, the part is withheld until their state is known.
func (s *Dispatcher) AddJob(added scheduler.JobAdded, knownToPreviousOwner bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	added.NoUnadoptedAttempts = true
	if !knownToPreviousOwner || len(s.unadopted) == 0 {
		s.apply(added)
		s.requestDecision()
		return
	}
	h := s.withheldJobs[added.Job.ID]
	if h == nil {
		h = &withheldJob{leasesExpireBy: s.o.PreviousAuthorityEndsBy + lease.SafeWait(added.Job.Lease), released: map[int32]bool{}}
		s.withheldJobs[added.Job.ID] = h
	}
	h.parts = append(h.parts, added)
	s.updateAllotments()
}

// releaseTask passes one task of a withheld job to the scheduler. It is called
// before an event about the task is applied. s.mu must be held.
func (s *Dispatcher) releaseTask(id work.TaskID) {
	h := s.withheldJobs[id.Job]
	if h == nil || h.released[id.Index] {
		return
	}
	for _, part := range h.parts {
		if id.Index < part.First || id.Index >= part.First+part.Count {
			continue
		}
		h.released[id.Index] = true
		s.apply(subrange(part, id.Index, 1))
		return
	}
}

// releaseWithheld passes the withheld jobs whose state is known by now to the
// scheduler. s.mu must be held.
func (s *Dispatcher) releaseWithheld(now time.Duration) {
	for id, h := range s.withheldJobs {
		if len(s.unadopted) > 0 && now < h.leasesExpireBy {
			continue
		}
		delete(s.withheldJobs, id)
		for _, part := range h.parts {
			s.releaseRemaining(part, h.released)
		}
		if h.cancelled {
			s.apply(scheduler.JobCancelled{Job: id})
		}
		s.updateAllotments()
		s.requestDecision()
	}
}

// releaseRemaining passes the tasks of a part that are not in released to the
// scheduler, as contiguous ranges. s.mu must be held.
func (s *Dispatcher) releaseRemaining(part scheduler.JobAdded, released map[int32]bool) {
	first := part.First
	for i := part.First; i <= part.First+part.Count; i++ {
		if i < part.First+part.Count && !released[i] {
			continue
		}
		if i > first {
			s.apply(subrange(part, first, i-first))
		}
		first = i + 1
	}
}

// subrange returns a copy of added that covers only a range of its tasks.
func subrange(added scheduler.JobAdded, first, count int32) scheduler.JobAdded {
	added.First, added.Count = first, count
	return added
}
