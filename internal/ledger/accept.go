package ledger

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
	"github.com/medlarpulley/medlarpulley/internal/work"
	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

func (s *State) acceptJob(events []Event, o Origin, r *ledgerv1.JobAccepted) []Event {
	if r.Job == nil {
		return append(events, Malformed{o, "JobAccepted record without a job"})
	}
	job, reason := decodeJob(r.Job)
	if reason != "" {
		return append(events, JobRefused{o, job.ID, reason})
	}
	if known := s.Jobs[job.ID]; known != nil {
		if known.Job == job {
			return append(events, JobDuplicate{o, job.ID})
		}
		return append(events, JobConflict{o, job.ID})
	}
	parts, ok := decodeParts(r.Parts, job.Tasks)
	if !ok {
		return append(events, JobRefused{o, job.ID, "parts do not cover the tasks"})
	}
	if s.openJobCount >= MaxOpenJobs || s.jobTextBytes+textBytes(&job) > MaxTotalJobTextBytes {
		return append(events, JobRefused{o, job.ID, "too many unfinished jobs or too much text in stored jobs"})
	}
	j := &Job{Job: job, Accepted: o.Offset, Parts: parts}
	s.Jobs[job.ID] = j
	s.openJobCount++
	s.jobTextBytes += textBytes(&job)
	s.addToIndex(j)
	return append(events, JobAccepted{o, job, slices.Clone(parts)})
}

// decodeJob converts a job from its record. The string is empty if the job is
// valid, and otherwise the reason for refusing it.
func decodeJob(r *ledgerv1.Job) (work.Job, string) {
	job := work.Job{
		ID: work.JobID(r.Id), Team: r.Team, Queue: r.Queue,
		Kind: work.Kind(r.Kind), Class: work.Class(r.Class), Tasks: r.Tasks,
		Size: resource.Vector{
			MilliCPU: r.GetSize().GetMilliCpu(), MemoryMiB: r.GetSize().GetMemoryMib(),
			Accelerators: r.GetSize().GetAccelerators(),
		},
		Idempotent: r.Idempotent, Lease: durationFromMillis(r.LeaseMillis), Runtime: durationFromMillis(r.RuntimeMillis),
		Deadline: durationFromMillis(r.DeadlineMillis), Template: r.Template, Command: r.Command,
	}
	switch {
	case !isValidName(r.Id):
		return job, "id is empty or too long"
	case r.Kind > uint32(work.Gang) || r.Class > uint32(work.Background):
		return job, "unknown kind or class"
	case r.Tasks < 1 || r.Tasks > MaxTasks:
		return job, "number of tasks is out of range"
	case job.Size.IsNegative() || job.Lease < 0 || job.Runtime < 0 || job.Deadline < 0:
		return job, "size or duration is negative"
	case textBytes(&job) > MaxJobTextBytes:
		return job, "texts are longer than " + strconv.Itoa(MaxJobTextBytes) + " bytes"
	}
	return job, ""
}

// textBytes returns the total length of the text fields of a job, in bytes.
func textBytes(job *work.Job) int {
	return len(job.ID) + len(job.Team) + len(job.Queue) + len(job.Template) + len(job.Command)
}

// durationFromMillis clamps n so that the result does not overflow. Every
// negative n becomes -1 ms.
func durationFromMillis(n int64) time.Duration {
	const limit = math.MaxInt64 / int64(time.Millisecond)
	return time.Duration(min(max(n, -1), limit)) * time.Millisecond
}

// decodeParts returns the parts sorted by first task, and whether they are valid
// and cover each task exactly once.
func decodeParts(r []*ledgerv1.Part, tasks int32) ([]Part, bool) {
	if len(r) > MaxParts {
		return nil, false
	}
	parts := make([]Part, len(r))
	for i, p := range r {
		parts[i] = Part{Shard: p.GetShard(), First: p.GetFirst(), Count: p.GetCount()}
	}
	slices.SortFunc(parts, func(a, b Part) int { return cmp.Compare(a.First, b.First) })
	next := int32(0)
	for _, p := range parts {
		if !isValidName(p.Shard) || p.First != next || !isValidRange(p.First, p.Count, tasks) {
			return nil, false
		}
		next = p.end()
	}
	return parts, next == tasks
}

// addToIndex adds an unfinished job to the index of each of its shards.
func (s *State) addToIndex(j *Job) {
	for _, p := range j.Parts {
		jobs := s.openByShard[p.Shard]
		if jobs == nil {
			jobs = map[work.JobID]struct{}{}
			s.openByShard[p.Shard] = jobs
		}
		jobs[j.Job.ID] = struct{}{}
	}
}

// removeFromIndex removes a job from the index of each of its shards.
func (s *State) removeFromIndex(j *Job) {
	for _, p := range j.Parts {
		delete(s.openByShard[p.Shard], j.Job.ID)
		if len(s.openByShard[p.Shard]) == 0 {
			delete(s.openByShard, p.Shard)
		}
	}
}
