package dispatch

import (
	"context"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/scheduler"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// quiescePoll is how often Quiesce looks whether commands are outstanding.
const quiescePoll = 10 * time.Millisecond

// Quiesce stops new starts and waits until no command is outstanding and all
// outcomes are logged, so that the shard can be released.
func (s *Shard) Quiesce(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	for _, h := range s.hosts {
		s.refuseQueued(h, "shard is handed over")
	}
	s.mu.Unlock()
	ticker := time.NewTicker(quiescePoll)
	defer ticker.Stop()
	for {
		if s.quiet() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// quiet reports whether nothing is outstanding.
func (s *Shard) quiet() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.intents) > 0 || len(s.ended) > 0 {
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

// PauseStarts stops or resumes all starts. Tasks that run go on.
func (s *Shard) PauseStarts(paused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.paused == paused {
		return
	}
	s.paused = paused
	s.log.Info("Starts are paused or resumed.", "shard", s.o.Shard, "paused", paused)
	s.apply(scheduler.StartsPaused{All: paused})
	s.decideSoon()
}

// Resume undoes Quiesce if the shard was not released.
func (s *Shard) Resume() {
	s.mu.Lock()
	s.draining = false
	s.mu.Unlock()
	s.decideSoon()
}

// TakeTasks removes the first tasks of a range, before they are moved to
// another shard, and returns how many. It ends at the first task that runs or
// may run, because such a task must never change its shard, and for a
// non-idempotent job at the first one that was ever started.
func (s *Shard) TakeTasks(moved scheduler.TasksMoved, idempotent bool) int32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	idle := map[int32]bool{}
	for _, t := range s.sched.Tasks(moved.Job) {
		idle[t.Task.Index] = t.State == scheduler.TaskQueued.String() && t.Host == "" && t.Outcome == work.Pending &&
			(idempotent || t.Attempt == 0)
	}
	taken := int32(0)
	for taken < moved.Count && idle[moved.First+taken] {
		taken++
	}
	if taken > 0 {
		moved.Count = taken
		s.apply(moved)
	}
	return taken
}
