package dispatch

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/platform/worker"
	"github.com/medlarpulley/medlarpulley/internal/scheduler"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// answered carries the answer of a worker into the state of the shard.
func (s *Shard) answered(h *host, req worker.ExchangeRequest, resp worker.ExchangeResponse, at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if resp.Refused == worker.StaleToken {
		s.fence(resp.HighestToken)
		return
	}
	restarted := h.lease.Answer(at, resp.Incarnation, resp.Stamp)
	if restarted {
		s.loseAttempts(h, resp.Incarnation)
		h.reconcile = true
	}
	h.failures, h.lastHeard, h.leaving = 0, at, resp.Leaving
	for _, f := range resp.Finished {
		s.taskEnded(h, f)
	}
	for _, r := range resp.Starts {
		s.startAnswered(h, r)
	}
	if req.Full && resp.Incarnation == h.lease.Incarnation() {
		s.adopt(h, resp)
	} else if h.hasUnknown() && s.settleable(h) {
		h.reconcile = true
	}
	s.apply(scheduler.UsageReported{Host: h.entry.ID, Usage: resp.Usage})
	s.refreshHost(h)
	s.releaseHeld(at)
	s.decideSoon()
}

// fence notes that a worker obeys a newer owner. The lock must be held.
func (s *Shard) fence(token uint64) {
	if s.fenced {
		return
	}
	s.fenced = true
	s.log.Warn("A worker has seen a higher token.", "shard", s.o.Shard, "token", s.o.Token, "seen", token)
	if s.o.Fenced != nil {
		go s.o.Fenced(token)
	}
}

// startAnswered settles one start.
func (s *Shard) startAnswered(h *host, r worker.StartResult) {
	a := h.attempts[r.Attempt]
	if a == nil {
		return
	}
	switch r.Refused {
	case "":
		if s.o.Started != nil && a.start != nil {
			s.o.Started(*a.start)
		}
		a.state, a.began, a.start = attemptRunning, s.o.Clock(), nil
		s.apply(scheduler.TaskStarted{Attempt: r.Attempt, Host: h.entry.ID})
	case worker.StaleStamp:
		s.resend(h, a)
	case worker.Duplicate:
		// The worker knows the task already, perhaps from a message whose answer was lost.
		a.state = attemptUnknown
		h.reconcile = true
		s.apply(scheduler.TaskUnknown{Attempt: r.Attempt, Host: h.entry.ID})
	default:
		delete(h.attempts, r.Attempt)
		s.apply(scheduler.TaskRefused{Attempt: r.Attempt, Host: h.entry.ID, Reason: string(r.Refused)})
	}
}

// resend queues a start again that the worker refused because of an old
// stamp. The refusal brought a fresh one.
func (s *Shard) resend(h *host, a *attempt) {
	if a.resent >= maxResends || a.start == nil {
		delete(h.attempts, a.id)
		s.apply(scheduler.TaskRefused{Attempt: a.id, Host: h.entry.ID, Reason: string(worker.StaleStamp)})
		return
	}
	a.resent++
	h.starts = append(h.starts, *a.start)
}

// taskEnded passes the end of an attempt on and keeps its report until the
// outcome is in the log.
func (s *Shard) taskEnded(h *host, f worker.Finished) {
	s.releaseTask(f.Attempt.Task)
	// A task that moved on or whose job is forgotten gets no outcome here.
	t, known := s.sched.Task(f.Attempt.Task)
	here := known && t.State != scheduler.TaskMoved.String()
	delete(h.attempts, f.Attempt)
	if old, ok := s.reports[f.Attempt.Task]; ok && old.id != f.Attempt {
		s.acknowledge(old)
	}
	s.reports[f.Attempt.Task] = report{host: h.entry.ID, id: f.Attempt}
	s.apply(scheduler.TaskEnded{
		Attempt: f.Attempt, Host: h.entry.ID, Outcome: f.Outcome, Ran: f.Ran, Peak: f.Peak, Checkpointed: f.Checkpointed,
	})
	if !here {
		s.acknowledge(report{host: h.entry.ID, id: f.Attempt})
	}
}

// acknowledge lets the worker forget a report with the next exchange.
func (s *Shard) acknowledge(r report) {
	if h := s.hosts[r.host]; h != nil {
		h.acks = append(h.acks, r.id)
	}
	if current, ok := s.reports[r.id.Task]; ok && current == r {
		delete(s.reports, r.id.Task)
	}
}

// adopt takes over what a full report says about the host.
func (s *Shard) adopt(h *host, resp worker.ExchangeResponse) {
	seen := make(map[work.AttemptID]bool, len(resp.Running))
	running := make([]scheduler.RunningTask, 0, len(resp.Running))
	now := s.o.Clock()
	for _, r := range resp.Running {
		seen[r.Attempt] = true
		s.releaseTask(r.Attempt.Task)
		h.attempts[r.Attempt] = &attempt{id: r.Attempt, size: r.Size, lease: r.Lease, state: attemptRunning, began: now - r.Age}
		running = append(running, scheduler.RunningTask{Attempt: r.Attempt, Size: r.Size, Age: r.Age})
	}
	for _, a := range sortedAttempts(h.attempts) {
		if seen[a.id] {
			continue
		}
		switch {
		case a.state == attemptUnknown && s.startExpired(h, a):
			delete(h.attempts, a.id)
			s.apply(scheduler.TaskRefused{Attempt: a.id, Host: h.entry.ID, Reason: "worker did not start it"})
		case a.state == attemptRunning:
			// The worker forgot a confirmed attempt; only its end is certain.
			delete(h.attempts, a.id)
			s.apply(scheduler.TaskEnded{Attempt: a.id, Host: h.entry.ID, Outcome: work.Lost})
		default:
			running = append(running, scheduler.RunningTask{Attempt: a.id, Size: a.size})
		}
	}
	s.apply(scheduler.HostAdopted{Host: h.entry.ID, Running: running})
	if !h.adopted {
		s.log.Info("Host adopted.", "shard", s.o.Shard, "host", h.entry.ID, "running", len(resp.Running))
	}
	h.adopted, h.reconcile = true, false
	delete(s.initial, h.entry.ID)
	s.updateAllotments()
}

// startExpired reports whether the worker can no longer carry out a start:
// the answer at hand shows a clock by which its stamp is too old.
func (s *Shard) startExpired(h *host, a *attempt) bool {
	return a.sentIncarnation != h.lease.Incarnation() || h.lease.Stamp()-a.sentStamp > worker.StampMaxAge
}

// settleable reports whether a full report would settle an unknown start.
func (s *Shard) settleable(h *host) bool {
	for _, a := range h.attempts {
		if a.state == attemptUnknown && s.startExpired(h, a) {
			return true
		}
	}
	return false
}
