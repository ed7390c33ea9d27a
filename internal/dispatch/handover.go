package dispatch

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarpulley/medlarpulley/internal/scheduler"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// quiescePollInterval is the interval at which Quiesce checks for pending
// intents, starts and outcomes.
const quiescePollInterval = 10 * time.Millisecond

// ErrStopped is the error of Quiesce if the Dispatcher is stopped.
var ErrStopped = eris.New("the dispatcher was stopped")

// Quiesce stops new starts and waits until no intent or start is outstanding
// and all outcomes are logged, so that the shard can be released. If ctx ends
// first, it allows starts again and returns the error of ctx. It returns
// ErrStopped if the Dispatcher is stopped.
func (s *Dispatcher) Quiesce(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	for _, h := range s.hosts {
		s.refuseQueued(h, "shard is being released")
	}
	s.mu.Unlock()
	ticker := time.NewTicker(quiescePollInterval)
	defer ticker.Stop()
	for {
		if s.quiesced() {
			return nil
		}
		select {
		case <-s.ctx.Done():
			return ErrStopped
		case <-ctx.Done():
			s.resume()
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// quiesced reports whether no intent, start or outcome is outstanding.
func (s *Dispatcher) quiesced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pendingIntents) > 0 || len(s.unloggedOutcomes) > 0 {
		return false
	}
	for _, h := range s.hosts {
		for _, a := range h.attempts {
			if a.state == attemptSending {
				return false
			}
		}
	}
	return true
}

// PauseStarts pauses or resumes all starts. Running tasks continue.
func (s *Dispatcher) PauseStarts(paused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.paused == paused {
		return
	}
	s.paused = paused
	s.log.Info("Task starts were paused or resumed.", "shard", s.o.Shard, "paused", paused)
	s.apply(scheduler.StartsPaused{All: paused})
	s.requestDecision()
}

// resume allows starts again after Quiesce has failed.
func (s *Dispatcher) resume() {
	s.mu.Lock()
	s.draining = false
	s.mu.Unlock()
	s.requestDecision()
}

// TakeTasks removes the first tasks of a range from the scheduler, before they are
// moved to another shard, and returns their number. It stops at the first task
// that runs or may run, because such a task must never change its shard, and for
// a non-idempotent job at the first one that was ever started.
func (s *Dispatcher) TakeTasks(moved scheduler.TasksMoved, idempotent bool) int32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	movable := map[int32]bool{}
	for _, t := range s.sched.Tasks(moved.Job) {
		movable[t.Task.Index] = t.State == scheduler.TaskQueued.String() && t.Host == "" && t.Outcome == work.Pending &&
			(idempotent || t.Attempt == 0)
	}
	taken := int32(0)
	for taken < moved.Count && movable[moved.First+taken] {
		taken++
	}
	if taken > 0 {
		moved.Count = taken
		s.apply(moved)
	}
	return taken
}
