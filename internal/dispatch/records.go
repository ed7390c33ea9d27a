package dispatch

import (
	"sort"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/scheduler"
	"github.com/medlarpulley/medlarpulley/internal/work"
	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// intentLoop logs the intents to start non-idempotent tasks. A start is sent only
// after its intent has been logged.
func (s *Dispatcher) intentLoop() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.intentSignal:
		}
		s.logIntents()
	}
}

// logIntents logs all pending intents in one record.
func (s *Dispatcher) logIntents() {
	s.mu.Lock()
	starts := s.pendingIntents
	s.pendingIntents = nil
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
		s.handleIntentResult(start, err == nil && effective[start.Attempt])
	}
	s.requestDecision()
}

// handleIntentResult queues a start whose intent took effect and refuses any
// other. A start without an effective intent was never sent, so the task
// certainly did not start. s.mu must be held.
func (s *Dispatcher) handleIntentResult(start scheduler.StartTask, effective bool) {
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

// outcomeLoop logs final outcomes once per outcomeFlushInterval.
func (s *Dispatcher) outcomeLoop() {
	ticker := time.NewTicker(outcomeFlushInterval)
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

// logOutcomes logs pending outcomes and then acknowledges the workers' reports.
func (s *Dispatcher) logOutcomes() {
	s.mu.Lock()
	n := min(len(s.unloggedOutcomes), maxOutcomesPerRecord)
	batch := append([]taskOutcome(nil), s.unloggedOutcomes[:n]...)
	s.mu.Unlock()
	if n == 0 {
		return
	}
	if err := s.o.Log.Outcomes(s.ctx, outcomeRecords(s.o.Shard, s.o.Token, batch)...); err != nil {
		s.log.Warn("Outcomes could not be logged; will retry.", "shard", s.o.Shard, "tasks", n, "error", err)
		return
	}
	s.mu.Lock()
	s.unloggedOutcomes = s.unloggedOutcomes[n:]
	for _, e := range batch {
		if r, ok := s.reports[e.task]; ok {
			s.acknowledge(r)
		}
	}
	s.mu.Unlock()
}

// outcomeRecords returns one record per job, with the outcomes merged into ranges
// of consecutive tasks with equal outcome.
func outcomeRecords(shard string, token uint64, batch []taskOutcome) []*ledgerv1.Outcomes {
	sorted := append([]taskOutcome(nil), batch...)
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

// appendOutcome extends the last range by the task, or appends a new range.
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
