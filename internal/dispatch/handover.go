package dispatch

import (
	"context"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/scheduler"
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

// Resume undoes Quiesce if the shard was not released.
func (s *Shard) Resume() {
	s.mu.Lock()
	s.draining = false
	s.mu.Unlock()
	s.decideSoon()
}

// TakeTasks removes a range of tasks that have not started, before it is
// moved to another shard.
func (s *Shard) TakeTasks(moved scheduler.TasksMoved) { s.Apply(moved) }
