package ledger

import (
	"slices"

	"github.com/medlarpulley/medlarpulley/internal/work"
	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

func (s *State) cancelJob(events []Event, o Origin, r *ledgerv1.JobCancelled) []Event {
	job := s.Jobs[work.JobID(r.Job)]
	switch {
	case job == nil:
		return append(events, RecordIgnored{o, "cancel", r.Job, "unknown job"})
	case job.Finished():
		return append(events, RecordIgnored{o, "cancel", r.Job, "job is finished"})
	case job.Cancelled != 0:
		return append(events, RecordIgnored{o, "cancel", r.Job, "already cancelled"})
	}
	job.Cancelled = o.Offset
	return append(events, JobCancelled{o, job.Job.ID, slices.Clone(job.Parts)})
}

// applyIntents records intents, which permit the owner of a shard to start
// attempts of non-idempotent tasks. An intent is ignored if the job is unknown,
// cancelled or idempotent, if the task has another home shard or an outcome, or
// if its attempt number is not higher than that of the task's last intent.
func (s *State) applyIntents(events []Event, o Origin, r *ledgerv1.Intents) []Event {
	if !s.isOwner(o, r.Shard, r.Token) {
		return append(events, RecordIgnored{o, "intents", r.Shard, notOwner})
	}
	result := IntentsApplied{Origin: o, Shard: r.Shard, Token: r.Token}
	for _, a := range r.Attempts {
		id := work.AttemptID{
			Task:    work.TaskID{Job: work.JobID(a.GetJob()), Index: a.GetIndex()},
			Attempt: a.GetAttempt(),
		}
		if s.recordIntent(r.Shard, id) {
			result.Effective = append(result.Effective, id)
		} else {
			result.Ignored = append(result.Ignored, id)
		}
	}
	return append(events, result)
}

func (s *State) recordIntent(shard string, id work.AttemptID) bool {
	job, index := s.Jobs[id.Task.Job], id.Task.Index
	if job == nil || job.Job.Idempotent || job.Cancelled != 0 || job.ShardOf(index) != shard ||
		job.Outcome(index) != work.Pending || id.Attempt <= job.Intents[index] {
		return false
	}
	if job.Intents == nil {
		job.Intents = map[int32]int32{}
	}
	job.Intents[index] = id.Attempt
	return true
}

func (s *State) moveTasks(events []Event, o Origin, r *ledgerv1.Move) []Event {
	job := s.Jobs[work.JobID(r.Job)]
	reason := ""
	switch {
	case !isValidName(r.To) || r.To == r.From:
		return append(events, Malformed{o, "target shard of a move is invalid or equal to the source"})
	case !s.isOwner(o, r.From, r.Token):
		reason = notOwner
	case job == nil:
		reason = "unknown job"
	case !isValidRange(r.First, r.Count, job.Job.Tasks):
		reason = "no such tasks"
	case !job.canMove(r.From, r.First, r.Count):
		reason = "a task has another home shard, an intent or an outcome"
	}
	if reason != "" {
		return append(events, RecordIgnored{o, "move", r.Job, reason})
	}
	parts := job.partsAfterMove(r.First, r.Count, r.To)
	if len(parts) > MaxParts {
		return append(events, RecordIgnored{o, "move", r.Job, "too many parts"})
	}
	s.removeFromIndex(job)
	job.Parts = parts
	s.addToIndex(job)
	return append(events, TasksMoved{o, job.Job.ID, r.First, r.Count, r.From, r.To})
}

// canMove reports whether all tasks of a range have the given home shard, no
// intent and no outcome.
func (j *Job) canMove(shard string, first, count int32) bool {
	end := first + count
	for _, p := range j.Parts {
		if p.First < end && p.end() > first && p.Shard != shard {
			return false
		}
	}
	for _, r := range j.Outcomes {
		if r.First < end && r.end() > first {
			return false
		}
	}
	for index := range j.Intents {
		if index >= first && index < end {
			return false
		}
	}
	return true
}

// partsAfterMove returns the parts of the job as they are once a range of its
// tasks has moved to a new home shard.
func (j *Job) partsAfterMove(first, count int32, shard string) []Part {
	var parts []Part
	add := func(shard string, from, to int32) {
		if from >= to {
			return
		}
		if n := len(parts); n > 0 && parts[n-1].Shard == shard {
			parts[n-1].Count += to - from
			return
		}
		parts = append(parts, Part{shard, from, to - from})
	}
	end := first + count
	for _, p := range j.Parts {
		add(p.Shard, p.First, min(p.end(), first))
		add(shard, max(p.First, first), min(p.end(), end))
		add(p.Shard, max(p.First, end), p.end())
	}
	return parts
}
