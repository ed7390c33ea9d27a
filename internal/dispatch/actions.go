package dispatch

import (
	"github.com/medlarpulley/medlarpulley/internal/platform/worker"
	"github.com/medlarpulley/medlarpulley/internal/scheduler"
)

// decide runs one scheduling pass and queues the resulting actions.
func (s *Dispatcher) decide() {
	s.mu.Lock()
	if s.fenced || s.draining || !s.o.Authority() {
		s.mu.Unlock()
		return
	}
	actions := s.sched.Decide(s.o.Clock())
	var offers []scheduler.OfferTasks
	for _, action := range actions {
		switch act := action.(type) {
		case scheduler.StartTask:
			s.queueStart(act)
		case scheduler.StopTask:
			s.queueStop(act)
		case scheduler.EndTask:
			s.unloggedOutcomes = append(s.unloggedOutcomes, taskOutcome{task: act.Task, outcome: act.Outcome})
		case scheduler.OfferTasks:
			offers = append(offers, act)
		}
	}
	s.mu.Unlock()
	if len(actions) > 0 {
		s.requestDecision()
	}
	for _, offer := range offers {
		s.o.Offer(offer)
	}
}

// queueStart queues a start. A non-idempotent task must run at most once, so its
// start is queued only after its intent has been logged.
func (s *Dispatcher) queueStart(act scheduler.StartTask) {
	h := s.hosts[act.Host]
	if h == nil {
		s.apply(scheduler.TaskRefused{Attempt: act.Attempt, Host: act.Host, Reason: "host was removed"})
		return
	}
	if r, ok := s.reports[act.Attempt.Task]; ok {
		s.acknowledge(r)
	}
	s.highestAttempt = max(s.highestAttempt, act.Attempt.Attempt)
	h.attempts[act.Attempt] = &attempt{id: act.Attempt, size: act.Size, lease: act.Lease, pendingStart: &act}
	if !act.Idempotent {
		s.pendingIntents = append(s.pendingIntents, act)
		select {
		case s.intentSignal <- struct{}{}:
		default:
		}
		return
	}
	h.starts = append(h.starts, act)
	h.signal()
}

// queueStop queues a stop request for an attempt. It does nothing if the host
// was removed.
func (s *Dispatcher) queueStop(act scheduler.StopTask) {
	h := s.hosts[act.Host]
	if h == nil {
		return
	}
	h.stops = append(h.stops, worker.Stop{Attempt: act.Attempt, Mode: stopMode(act.Mode)})
	h.signal()
}

// stopMode converts a stop mode of the scheduler to that of the worker protocol.
func stopMode(m scheduler.StopMode) worker.StopMode {
	switch m {
	case scheduler.StopCheckpoint:
		return worker.Checkpoint
	case scheduler.StopThrottle:
		return worker.Throttle
	default:
		return worker.Kill
	}
}
