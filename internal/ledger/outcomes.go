package ledger

import (
	"slices"

	"github.com/medlarpulley/medlarpulley/internal/work"
	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// outcomes records ends of tasks. The first outcome of a task stays, but a
// worker's report replaces Lost. A report counts under any token. Lost,
// Cancelled and Infeasible are decisions of an owner and count only under the
// current token of the home shard.
func (s *State) outcomes(events []Event, o Origin, r *ledgerv1.Outcomes) []Event {
	job := s.Jobs[work.JobID(r.Job)]
	if job == nil {
		return append(events, RecordIgnored{o, "outcomes", r.Job, "unknown job"})
	}
	owner, wasFinished := s.holds(o, r.Shard, r.Token), job.Finished()
	result := OutcomesApplied{Origin: o, Shard: r.Shard, Job: job.Job.ID}
	for _, named := range r.Ranges {
		first, count, code := named.GetFirst(), named.GetCount(), named.GetOutcome()
		if !validRange(first, count, job.Job.Tasks) || code == 0 || code > uint32(work.Infeasible) {
			return append(events, Malformed{o, "outcome of no task or of unknown value"})
		}
	}
	for _, named := range r.Ranges {
		outcome, changed := work.Outcome(named.Outcome), int32(0)
		switch {
		case isReport(outcome):
			changed = job.end(&result, named.First, named.First+named.Count, outcome)
		case owner:
			changed = job.endPart(&result, r.Shard, named.First, named.First+named.Count, outcome)
		}
		result.Ignored += named.Count - changed
	}
	events = append(events, result)
	if job.Finished() && !wasFinished {
		s.finish(job)
		events = append(events, JobFinished{o, job.Job.ID})
	}
	return events
}

// isReport reports whether an outcome is known from a worker.
func isReport(o work.Outcome) bool {
	return o == work.Succeeded || o == work.Failed || o == work.Stopped
}

// endPart is end for those tasks of a range whose home is the shard.
func (j *Job) endPart(result *OutcomesApplied, shard string, first, end int32, outcome work.Outcome) int32 {
	changed := int32(0)
	for _, p := range j.Parts {
		if from, to := max(first, p.First), min(end, p.end()); p.Shard == shard && from < to {
			changed += j.end(result, from, to, outcome)
		}
	}
	return changed
}

// end sets the outcome of the tasks [first, end) that may still get it, and
// returns their number.
func (j *Job) end(result *OutcomesApplied, first, end int32, outcome work.Outcome) int32 {
	// Include the neighbours, which may merge with the new range.
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
		if old.Outcome == work.Lost && isReport(outcome) && from < to {
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

// appendRange appends r, merged with the last range if that is adjacent and equal.
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

// finish moves a job to the finished ones and forgets the oldest of them if
// there are too many.
func (s *State) finish(job *Job) {
	s.unindex(job)
	s.openJobs--
	job.Intents = nil
	if len(s.Ended) >= MaxFinishedJobs {
		if oldest := s.Jobs[s.Ended[0]]; oldest != nil {
			s.jobTexts -= textOf(&oldest.Job)
			delete(s.Jobs, s.Ended[0])
		}
		s.Ended = slices.Delete(s.Ended, 0, 1)
	}
	s.Ended = append(s.Ended, job.Job.ID)
}
