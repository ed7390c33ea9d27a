package dispatch

import (
	"sort"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/scheduler"
	"github.com/medlarpulley/medlarpulley/internal/work"
	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// intentLoop logs the intents of non-idempotent starts before they are sent.
func (s *Shard) intentLoop() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.intent:
		}
		s.logIntents()
	}
}

// logIntents logs all waiting intents in one record.
func (s *Shard) logIntents() {
	s.mu.Lock()
	starts := s.intents
	s.intents = nil
	s.mu.Unlock()
	if len(starts) == 0 {
		return
	}
	record := &ledgerv1.Intents{Shard: s.o.Shard, Token: s.o.Token}
	for _, start := range starts {
		record.Attempts = append(record.Attempts, &ledgerv1.Attempt{
			Job: string(start.Attempt.Task.Job), Index: start.Attempt.Task.Index, Attempt: start.Attempt.Attempt,
		})
	}
	effective, err := s.o.Log.Intents(s.ctx, record)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, start := range starts {
		s.intentLogged(start, err == nil && effective[start.Attempt])
	}
	s.decideSoon()
}

// intentLogged sends a start whose intent is in the log. Without the intent
// nothing was sent, so the start certainly did not happen. The lock must be held.
func (s *Shard) intentLogged(start scheduler.StartTask, effective bool) {
	h := s.hosts[start.Host]
	if !effective || h == nil {
		if h != nil {
			delete(h.attempts, start.Attempt)
		}
		s.apply(scheduler.TaskRefused{Attempt: start.Attempt, Host: start.Host, Reason: "intent was not logged"})
		return
	}
	h.starts = append(h.starts, start)
	h.signal()
}

// outcomeLoop logs fixed outcomes at intervals.
func (s *Shard) outcomeLoop() {
	ticker := time.NewTicker(outcomeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
			s.logOutcomes()
		}
	}
}

// logOutcomes logs waiting outcomes and lets the workers forget their reports.
func (s *Shard) logOutcomes() {
	s.mu.Lock()
	n := min(len(s.ended), maxOutcomesPerRecord)
	batch := append([]endedTask(nil), s.ended[:n]...)
	s.mu.Unlock()
	if n == 0 {
		return
	}
	if err := s.o.Log.Outcomes(s.ctx, outcomeRecords(s.o.Shard, s.o.Token, batch)...); err != nil {
		s.log.Warn("Outcomes are not logged yet.", "shard", s.o.Shard, "tasks", n, "error", err)
		return
	}
	s.mu.Lock()
	s.ended = s.ended[n:]
	for _, e := range batch {
		if r, ok := s.reports[e.task]; ok {
			s.acknowledge(r)
		}
	}
	s.mu.Unlock()
}

// outcomeRecords groups outcomes by job into ranges of equal outcome.
func outcomeRecords(shard string, token uint64, batch []endedTask) []*ledgerv1.Outcomes {
	sorted := append([]endedTask(nil), batch...)
	sort.SliceStable(sorted, func(i, j int) bool {
		a, b := sorted[i].task, sorted[j].task
		if a.Job != b.Job {
			return a.Job < b.Job
		}
		return a.Index < b.Index
	})
	var records []*ledgerv1.Outcomes
	var current *ledgerv1.Outcomes
	for _, e := range sorted {
		if current == nil || current.Job != string(e.task.Job) {
			current = &ledgerv1.Outcomes{Shard: shard, Token: token, Job: string(e.task.Job)}
			records = append(records, current)
		}
		current.Ranges = appendOutcome(current.Ranges, e.task.Index, e.outcome)
	}
	return records
}

// appendOutcome extends the last range or adds one.
func appendOutcome(ranges []*ledgerv1.OutcomeRange, index int32, outcome work.Outcome) []*ledgerv1.OutcomeRange {
	if n := len(ranges); n > 0 {
		last := ranges[n-1]
		if last.Outcome == uint32(outcome) && last.First+last.Count == index {
			last.Count++
			return ranges
		}
	}
	return append(ranges, &ledgerv1.OutcomeRange{First: index, Count: 1, Outcome: uint32(outcome)})
}
