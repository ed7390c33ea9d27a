package dispatch

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/platform/worker"
	"github.com/medlarpulley/medlarpulley/internal/scheduler"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// handleResponse applies the response of a worker to the state of the shard.
func (s *Dispatcher) handleResponse(h *host, req worker.ExchangeRequest, resp worker.ExchangeResponse, at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if resp.Refused == worker.StaleToken {
		s.markFenced(resp.HighestToken)
		return
	}
	restarted := h.lease.RecordResponse(at, resp.Incarnation, resp.Stamp)
	if restarted {
		s.endLostAttempts(h, resp.Incarnation)
		h.needsFullReport = true
	}
	h.failures, h.lastHeard, h.leaving = 0, at, resp.Leaving
	for _, f := range resp.Finished {
		s.handleFinished(h, f)
	}
	for _, r := range resp.Starts {
		s.handleStartResult(h, r)
	}
	if req.Full && resp.Incarnation == h.lease.Incarnation() {
		s.applyFullReport(h, resp)
	} else if h.hasUnknownStart() && s.hasExpiredStart(h) {
		h.needsFullReport = true
	}
	s.apply(scheduler.UsageReported{Host: h.entry.ID, Usage: resp.Usage})
	s.refreshHost(h)
	s.releaseWithheld(at)
	s.requestDecision()
}

// markFenced records that a worker knows the higher fencing token of a newer
// owner. It calls Options.Fenced the first time. s.mu must be held.
func (s *Dispatcher) markFenced(token uint64) {
	if s.fenced {
		return
	}
	s.fenced = true
	s.log.Warn("Shard owner is fenced: a worker knows a higher fencing token.", "shard", s.o.Shard, "token", s.o.Token, "seen", token)
	if s.o.Fenced != nil {
		go s.o.Fenced(token)
	}
}

// handleStartResult applies the worker's answer to one start request.
func (s *Dispatcher) handleStartResult(h *host, r worker.StartResult) {
	a := h.attempts[r.Attempt]
	if a == nil {
		return
	}
	switch r.Refused {
	case "":
		if s.o.Started != nil && a.pendingStart != nil {
			s.o.Started(*a.pendingStart)
		}
		a.state, a.startedAt, a.pendingStart = attemptRunning, s.o.Clock(), nil
		s.apply(scheduler.TaskStarted{Attempt: r.Attempt, Host: h.entry.ID})
	case worker.StaleStamp:
		s.resend(h, a)
	case worker.Duplicate:
		// The worker already knows the task, possibly from a request whose response was lost.
		a.state = attemptStartUnknown
		h.needsFullReport = true
		s.apply(scheduler.TaskStartUnknown{Attempt: r.Attempt, Host: h.entry.ID})
	default:
		delete(h.attempts, r.Attempt)
		s.apply(scheduler.TaskRefused{Attempt: r.Attempt, Host: h.entry.ID, Reason: string(r.Refused)})
	}
}

// resend queues a start again that the worker refused because its stamp was too
// old. The response with the refusal carried a current stamp.
func (s *Dispatcher) resend(h *host, a *attempt) {
	if a.resends >= maxResends || a.pendingStart == nil {
		delete(h.attempts, a.id)
		s.apply(scheduler.TaskRefused{Attempt: a.id, Host: h.entry.ID, Reason: string(worker.StaleStamp)})
		return
	}
	a.resends++
	h.starts = append(h.starts, *a.pendingStart)
}

// handleFinished reports to the scheduler that an attempt ended. The worker's
// report is acknowledged only once the outcome is in the log.
func (s *Dispatcher) handleFinished(h *host, f worker.Finished) {
	s.releaseTask(f.Attempt.Task)
	// No outcome is logged here for a task that was moved to another shard or
	// whose job is no longer known.
	t, known := s.sched.Task(f.Attempt.Task)
	local := known && t.State != scheduler.TaskMoved.String()
	delete(h.attempts, f.Attempt)
	if old, ok := s.reports[f.Attempt.Task]; ok && old.id != f.Attempt {
		s.acknowledge(old)
	}
	s.reports[f.Attempt.Task] = report{host: h.entry.ID, id: f.Attempt}
	s.apply(scheduler.TaskEnded{
		Attempt: f.Attempt, Host: h.entry.ID, Outcome: f.Outcome, Ran: f.Ran, Peak: f.Peak, Checkpointed: f.Checkpointed,
	})
	if !local {
		s.acknowledge(report{host: h.entry.ID, id: f.Attempt})
	}
}

// acknowledge queues the acknowledgement of a report for the next exchange. The
// worker may then drop the report.
func (s *Dispatcher) acknowledge(r report) {
	if h := s.hosts[r.host]; h != nil {
		h.acks = append(h.acks, r.id)
	}
	if current, ok := s.reports[r.id.Task]; ok && current == r {
		delete(s.reports, r.id.Task)
	}
}

// applyFullReport reconciles the attempts of a host with a full report of its
// running tasks. The first full report makes the host adopted.
func (s *Dispatcher) applyFullReport(h *host, resp worker.ExchangeResponse) {
	seen := make(map[work.AttemptID]bool, len(resp.Running))
	running := make([]scheduler.RunningTask, 0, len(resp.Running))
	now := s.o.Clock()
	for _, r := range resp.Running {
		seen[r.Attempt] = true
		s.releaseTask(r.Attempt.Task)
		h.attempts[r.Attempt] = &attempt{id: r.Attempt, size: r.Size, lease: r.Lease, state: attemptRunning, startedAt: now - r.Age}
		running = append(running, scheduler.RunningTask{Attempt: r.Attempt, Size: r.Size, Age: r.Age})
	}
	for _, a := range sortedAttempts(h.attempts) {
		if seen[a.id] {
			continue
		}
		switch {
		case a.state == attemptStartUnknown && s.startExpired(h, a):
			delete(h.attempts, a.id)
			s.apply(scheduler.TaskRefused{Attempt: a.id, Host: h.entry.ID, Reason: "worker did not start the task"})
		case a.state == attemptRunning:
			// The worker no longer knows an attempt that it confirmed earlier. The
			// attempt has ended, but its result is not known.
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
	h.adopted, h.needsFullReport = true, false
	delete(s.unadopted, h.entry.ID)
	s.updateAllotments()
}

// startExpired reports whether the worker can no longer carry out a start: it has
// restarted, or its clock in the latest response shows that the stamp of the
// start is older than worker.StampMaxAge.
func (s *Dispatcher) startExpired(h *host, a *attempt) bool {
	return a.sentIncarnation != h.lease.Incarnation() || h.lease.Stamp()-a.sentStamp > worker.StampMaxAge
}

// hasExpiredStart reports whether an attempt has an unknown start that the worker
// can no longer carry out, so that a full report shows whether the task runs.
func (s *Dispatcher) hasExpiredStart(h *host) bool {
	for _, a := range h.attempts {
		if a.state == attemptStartUnknown && s.startExpired(h, a) {
			return true
		}
	}
	return false
}
