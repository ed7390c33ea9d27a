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

func (s *State) accept(events []Event, o Origin, r *ledgerv1.JobAccepted) []Event {
	if r.Job == nil {
		return append(events, Malformed{o, "accepted job without a job"})
	}
	job, reason := jobOf(r.Job)
	if reason != "" {
		return append(events, JobRefused{o, job.ID, reason})
	}
	if known := s.Jobs[job.ID]; known != nil {
		if known.Job == job {
			return append(events, JobDuplicate{o, job.ID})
		}
		return append(events, JobConflict{o, job.ID})
	}
	parts, ok := partsOf(r.Parts, job.Tasks)
	if !ok {
		return append(events, JobRefused{o, job.ID, "parts do not cover the tasks"})
	}
	if s.openJobs >= MaxOpenJobs || s.jobTexts+textOf(&job) > MaxJobTexts {
		return append(events, JobRefused{o, job.ID, "too many jobs"})
	}
	j := &Job{Job: job, Accepted: o.Offset, Parts: parts}
	s.Jobs[job.ID] = j
	s.openJobs++
	s.jobTexts += textOf(&job)
	s.index(j)
	return append(events, JobAccepted{o, job, slices.Clone(parts)})
}

// jobOf returns the job of a record and why it is not acceptable, if so.
func jobOf(r *ledgerv1.Job) (work.Job, string) {
	job := work.Job{
		ID: work.JobID(r.Id), Team: r.Team, Queue: r.Queue,
		Kind: work.Kind(r.Kind), Class: work.Class(r.Class), Tasks: r.Tasks,
		Size: resource.Vector{
			MilliCPU: r.GetSize().GetMilliCpu(), MemoryMiB: r.GetSize().GetMemoryMib(),
			Accelerators: r.GetSize().GetAccelerators(),
		},
		Idempotent: r.Idempotent, Lease: millis(r.LeaseMillis), Runtime: millis(r.RuntimeMillis),
		Deadline: millis(r.DeadlineMillis), Template: r.Template, Command: r.Command,
	}
	switch {
	case !validName(r.Id):
		return job, "id is empty or too long"
	case r.Kind > uint32(work.Gang) || r.Class > uint32(work.Background):
		return job, "unknown kind or class"
	case r.Tasks < 1 || r.Tasks > MaxTasks:
		return job, "number of tasks is out of range"
	case job.Size.IsNegative() || job.Lease < 0 || job.Runtime < 0 || job.Deadline < 0:
		return job, "size or duration is negative"
	case textOf(&job) > MaxJobText:
		return job, "texts are longer than " + strconv.Itoa(MaxJobText) + " bytes"
	}
	return job, ""
}

// textOf returns the length of the texts of a job, in bytes.
func textOf(job *work.Job) int {
	return len(job.ID) + len(job.Team) + len(job.Queue) + len(job.Template) + len(job.Command)
}

// millis converts without overflow.
func millis(n int64) time.Duration {
	const limit = math.MaxInt64 / int64(time.Millisecond)
	return time.Duration(min(max(n, -1), limit)) * time.Millisecond
}

// partsOf returns the parts sorted and whether they cover each of the tasks once.
func partsOf(r []*ledgerv1.Part, tasks int32) ([]Part, bool) {
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
		if !validName(p.Shard) || p.First != next || !validRange(p.First, p.Count, tasks) {
			return nil, false
		}
		next = p.end()
	}
	return parts, next == tasks
}

// index notes an unfinished job under each of its shards.
func (s *State) index(j *Job) {
	for _, p := range j.Parts {
		jobs := s.open[p.Shard]
		if jobs == nil {
			jobs = map[work.JobID]struct{}{}
			s.open[p.Shard] = jobs
		}
		jobs[j.Job.ID] = struct{}{}
	}
}

// unindex removes a job from the index of its shards.
func (s *State) unindex(j *Job) {
	for _, p := range j.Parts {
		delete(s.open[p.Shard], j.Job.ID)
		if len(s.open[p.Shard]) == 0 {
			delete(s.open, p.Shard)
		}
	}
}
