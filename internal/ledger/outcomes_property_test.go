package ledger

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/medlarpulley/medlarpulley/internal/work"
	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// Guards against an error in the handling of ranges that gives a task a wrong
// outcome. The test compares it with a model that applies the rules to each task:
// the first outcome is final, a worker's report replaces Lost, and a decision of
// the owner counts only under the current token of the home shard.
func TestOutcomeRangesMatchPerTaskRules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const tasks = 12
		s := New(Options{})
		cut := int32(rapid.IntRange(1, tasks-1).Draw(rt, "cut"))
		apply := func(r *ledgerv1.Record) []Event {
			events, err := s.Apply(s.NextOffset, marshalBatch(rt, "n", s.NextOffset, r))
			if err != nil {
				rt.Fatalf("apply: %v", err)
			}
			return events[1:]
		}
		apply(&ledgerv1.Record{Kind: &ledgerv1.Record_Join{Join: &ledgerv1.Join{}}})
		apply(&ledgerv1.Record{Kind: &ledgerv1.Record_Claim{Claim: &ledgerv1.Claim{Shard: "a"}}})
		token := s.claimOf("a").Token
		apply(&ledgerv1.Record{Kind: &ledgerv1.Record_JobAccepted{JobAccepted: &ledgerv1.JobAccepted{
			Job:   &ledgerv1.Job{Id: "j", Tasks: tasks},
			Parts: []*ledgerv1.Part{{Shard: "a", Count: cut}, {Shard: "b", First: cut, Count: tasks - cut}},
		}}})
		var model [tasks]work.Outcome
		finished := false
		for range rapid.IntRange(1, 25).Draw(rt, "records") {
			first := rapid.Int32Range(0, tasks-1).Draw(rt, "first")
			count := rapid.Int32Range(1, tasks-first).Draw(rt, "count")
			outcome := work.Outcome(rapid.IntRange(1, int(work.Infeasible)).Draw(rt, "outcome"))
			used := token + uint64(rapid.IntRange(0, 1).Draw(rt, "stale"))
			events := apply(&ledgerv1.Record{Kind: &ledgerv1.Record_Outcomes{Outcomes: &ledgerv1.Outcomes{
				Shard: "a", Token: used, Job: "j",
				Ranges: []*ledgerv1.OutcomeRange{{First: first, Count: count, Outcome: uint32(outcome)}},
			}}})
			done, changed := int32(0), int32(0)
			for i := range model {
				index := int32(i)
				allowed := isWorkerReport(outcome) || (used == token && index < cut)
				replaces := model[i] == work.Pending || (model[i] == work.Lost && isWorkerReport(outcome))
				if index >= first && index < first+count && allowed && replaces {
					model[i] = outcome
					changed++
				}
				if model[i] != work.Pending {
					done++
				}
				if got := s.Jobs["j"].Outcome(index); got != model[i] {
					rt.Fatalf("task %d is %v, want %v", i, got, model[i])
				}
			}
			ranges := s.Jobs["j"].Outcomes
			for i := 1; i < len(ranges); i++ {
				if ranges[i-1].end() > ranges[i].First ||
					(ranges[i-1].end() == ranges[i].First && ranges[i-1].Outcome == ranges[i].Outcome) {
					rt.Fatalf("ranges overlap or are not merged: %v", ranges)
				}
			}
			applied := events[0].(OutcomesApplied)
			if s.Jobs["j"].Done != done || applied.Ignored != count-changed {
				rt.Fatalf("done %d, ignored %d, want %d and %d", s.Jobs["j"].Done, applied.Ignored, done, count-changed)
			}
			if ends := len(events) > 1; ends != (done == tasks && !finished) {
				rt.Fatalf("events %v with %d tasks done", events, done)
			}
			finished = done == tasks
		}
	})
}
