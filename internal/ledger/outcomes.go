package ledger

import (
	"slices"

	"github.com/medlarpulley/medlarpulley/internal/work"
	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// applyOutcomes records the outcomes of tasks. The first outcome of a task is
// final, except that an outcome reported by a worker replaces Lost. Outcomes
// that a worker reported are accepted under any fencing token. Lost, Cancelled
// and Infeasible are decisions of the shard owner and are accepted only under
// the current token of the task's home shard.
func (s *State) applyOutcomes(events []Event, o Origin, r *ledgerv1.Outcomes) []Event {
	job := s.Jobs[work.JobID(r.Job)]
	if job == nil {
		return append(events, RecordIgnored{o, "outcomes", r.Job, "unknown job"})
	}
	isOwner, wasFinished := s.isOwner(o, r.Shard, r.Token), job.Finished()
	result := OutcomesApplied{Origin: o, Shard: r.Shard, Job: job.Job.ID}
	for _, entry := range r.Ranges {
		first, count, code := entry.GetFirst(), entry.GetCount(), entry.GetOutcome()
		if !isValidRange(first, count, job.Job.Tasks) || code == 0 || code > uint32(work.Infeasible) {
			return append(events, Malformed{o, "outcome with an invalid task range or an unknown value"})
		}
	}
	for _, entry := range r.Ranges {
		outcome, changed := work.Outcome(entry.Outcome), int32(0)
		switch {
		case isWorkerReport(outcome):
			changed = job.setOutcome(&result, entry.First, entry.First+entry.Count, outcome)
		case isOwner:
			changed = job.setOutcomeInShard(&result, r.Shard, entry.First, entry.First+entry.Count, outcome)
		}
		result.Ignored += entry.Count - changed
	}
	events = append(events, result)
	if job.Finished() && !wasFinished {
		s.finishJob(job)
		events = append(events, JobFinished{o, job.Job.ID})
	}
	return events
}

// isWorkerReport reports whether an outcome is one that a worker reports, as
// opposed to a decision of the shard owner.
func isWorkerReport(o work.Outcome) bool {
	return o == work.Succeeded || o == work.Failed || o == work.Stopped
}

// setOutcomeInShard calls setOutcome for those tasks of [first, end) whose home
// shard is the given one, and returns the number of tasks that changed.
func (j *Job) setOutcomeInShard(result *OutcomesApplied, shard string, first, end int32, outcome work.Outcome) int32 {
	changed := int32(0)
	for _, p := range j.Parts {
		if from, to := max(first, p.First), min(end, p.end()); p.Shard == shard && from < to {
			changed += j.setOutcome(result, from, to, outcome)
		}
	}
	return changed
}

// setOutcome sets the outcome of those tasks in [first, end) that have none, or
// that are Lost if the outcome was reported by a worker. It returns the number
// of tasks that changed.
func (j *Job) setOutcome(result *OutcomesApplied, first, end int32, outcome work.Outcome) int32 {
	// Include the adjacent ranges, which may merge with the new one.
	low, _ := slices.BinarySearchFunc(j.Outcomes, first, func(r OutcomeRange, first int32) int {
		if r.end() < first {
			return -1
		}
		return 1
	})
	high := low
	for high < len(j.Outcomes) && j.Outcomes[high].First <= end {
		high++
	}
	var merged []OutcomeRange
	changed, next := int32(0), first
	fill := func(from, to int32) {
		if from < to {
			merged = appendRange(merged, OutcomeRange{from, to - from, outcome})
			result.Ranges = appendRange(result.Ranges, OutcomeRange{from, to - from, outcome})
			changed += to - from
			j.Done += to - from
		}
	}
	for _, old := range j.Outcomes[low:high] {
		fill(next, min(old.First, end))
		from, to := max(old.First, first), min(old.end(), end)
		if old.Outcome == work.Lost && isWorkerReport(outcome) && from < to {
			merged = appendRange(merged, OutcomeRange{old.First, from - old.First, old.Outcome})
			j.Done -= to - from
			fill(from, to)
			merged = appendRange(merged, OutcomeRange{to, old.end() - to, old.Outcome})
		} else {
			merged = appendRange(merged, old)
		}
		next = max(next, old.end())
	}
	fill(next, end)
	j.Outcomes = slices.Replace(j.Outcomes, low, high, merged...)
	return changed
}

// appendRange appends r, and merges it with the last range if that is adjacent
// and has the same outcome.
func appendRange(ranges []OutcomeRange, r OutcomeRange) []OutcomeRange {
	if r.Count <= 0 {
		return ranges
	}
	if n := len(ranges); n > 0 && ranges[n-1].Outcome == r.Outcome && ranges[n-1].end() == r.First {
		ranges[n-1].Count += r.Count
		return ranges
	}
	return append(ranges, r)
}

// finishJob adds a job to the finished jobs. If there are MaxFinishedJobs of
// them already, it removes the one that finished first.
func (s *State) finishJob(job *Job) {
	s.removeFromIndex(job)
	s.openJobCount--
	job.Intents = nil
	if len(s.FinishedJobs) >= MaxFinishedJobs {
		if oldest := s.Jobs[s.FinishedJobs[0]]; oldest != nil {
			s.jobTextBytes -= textBytes(&oldest.Job)
			delete(s.Jobs, s.FinishedJobs[0])
		}
		s.FinishedJobs = slices.Delete(s.FinishedJobs, 0, 1)
	}
	s.FinishedJobs = append(s.FinishedJobs, job.Job.ID)
}
