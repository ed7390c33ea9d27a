package dispatch

import (
	"context"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/platform/worker"
	"github.com/medlarpulley/medlarpulley/internal/scheduler"
	"github.com/medlarpulley/medlarpulley/internal/verdict"
)

// pollLoop keeps one long poll open with a worker, so that the end of a task is
// known at once and leases are renewed. Failed polls are retried with backoff.
func (s *Dispatcher) pollLoop(h *host) {
	backoff := minBackoff
	for s.ctx.Err() == nil {
		if s.pollOnce(h) {
			backoff = minBackoff
			continue
		}
		if !s.sleep(h, backoff) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// sleep waits for d and returns true, or returns false early if the host is
// removed or the Dispatcher stops.
func (s *Dispatcher) sleep(h *host, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-h.stop:
		return false
	case <-s.ctx.Done():
		return false
	}
}

// pollOnce makes one long poll or requests one full report. It reports whether
// the worker accepted the exchange.
func (s *Dispatcher) pollOnce(h *host) bool {
	s.mu.Lock()
	adoptionBlocked := s.o.Clock() < s.o.AdoptNotBefore
	full := (!h.adopted || h.needsFullReport) && !adoptionBlocked
	s.mu.Unlock()
	if full {
		if !s.lockHost(h) {
			return false
		}
		defer func() { <-h.exclusive }()
	}
	req, ok := s.pollRequest(h, full)
	if !ok {
		return false
	}
	resp, at, err := s.exchange(h, req)
	if err != nil {
		s.pollFailed(h, req, err)
		return false
	}
	s.handleResponse(h, req, resp, at)
	if adoptionBlocked {
		s.sleep(h, preAdoptionPollInterval)
	}
	return resp.Refused == ""
}

// lockHost acquires the host's exclusive lock, which serialises starts and full
// reports. It returns false if the host is removed or the Dispatcher
// stops.
func (s *Dispatcher) lockHost(h *host) bool {
	select {
	case h.exclusive <- struct{}{}:
		return true
	case <-h.stop:
	case <-s.ctx.Done():
	}
	return false
}

// pollRequest builds the next exchange request, without starts and stops. It
// returns false if the owner no longer has authority.
func (s *Dispatcher) pollRequest(h *host, full bool) (worker.ExchangeRequest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fenced || !s.o.Authority() {
		return worker.ExchangeRequest{}, false
	}
	req := worker.ExchangeRequest{Shard: s.o.Shard, Token: s.o.Token, Full: full, Acks: h.acks}
	h.acks = nil
	req.Incarnation, req.Stamp = h.lease.Echo()
	if !full && h.adopted {
		req.Wait = s.o.MaxExchangeInterval
	}
	return req, true
}

// exchange sends one request and returns the response and the time at which it
// arrived. It fails with "no-authority" if the owner no longer has authority.
func (s *Dispatcher) exchange(h *host, req worker.ExchangeRequest) (worker.ExchangeResponse, time.Duration, error) {
	ctx, cancel := context.WithTimeout(s.ctx, req.Wait+responseTimeoutMargin)
	defer cancel()
	s.mu.Lock()
	address := h.entry.Address
	s.mu.Unlock()
	if !s.o.Authority() {
		return worker.ExchangeResponse{}, 0, verdict.New(verdict.DidNotRun, "no-authority", "authority over shard %s has ended", s.o.Shard)
	}
	resp, err := s.o.Workers.Exchange(ctx, address, req)
	return resp, s.o.Clock(), err
}

// pollFailed records a failed poll and queues its acknowledgements again.
func (s *Dispatcher) pollFailed(h *host, req worker.ExchangeRequest, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.acks = append(h.acks, req.Acks...)
	h.failures++
	h.needsFullReport = true
	if h.failures == unreachableThreshold {
		s.log.Warn("Host does not answer.", "shard", s.o.Shard, "host", h.entry.ID, "error", err)
	}
	s.refreshHost(h)
}

// sendLoop sends starts and stops as they are queued.
func (s *Dispatcher) sendLoop(h *host) {
	for {
		select {
		case <-h.wake:
		case <-h.stop:
			return
		case <-s.ctx.Done():
			return
		}
		for s.sendOnce(h) {
		}
	}
}

// sendOnce sends one request with queued starts and stops. It reports whether
// more are queued.
func (s *Dispatcher) sendOnce(h *host) bool {
	if !s.lockHost(h) {
		return false
	}
	defer func() { <-h.exclusive }()
	req, ok := s.sendRequest(h)
	if !ok {
		return false
	}
	resp, at, err := s.exchange(h, req)
	if err != nil {
		s.sendFailed(h, req, err)
		return false
	}
	s.handleResponse(h, req, resp, at)
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(h.starts)+len(h.stops) > 0
}

// sendRequest builds a request from the queued starts and stops of a host. It
// returns false if there are none or the owner no longer has authority.
func (s *Dispatcher) sendRequest(h *host) (worker.ExchangeRequest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(h.starts)+len(h.stops) == 0 {
		return worker.ExchangeRequest{}, false
	}
	if s.fenced || !s.o.Authority() {
		s.refuseQueued(h, "authority over the shard has ended")
		return worker.ExchangeRequest{}, false
	}
	req := worker.ExchangeRequest{Shard: s.o.Shard, Token: s.o.Token, Stops: h.stops, Acks: h.acks}
	h.stops, h.acks = nil, nil
	req.Incarnation, req.Stamp = h.lease.Echo()
	n := min(len(h.starts), maxStartsPerExchange)
	for _, start := range h.starts[:n] {
		if a := h.attempts[start.Attempt]; a != nil {
			a.sentStamp, a.sentIncarnation = req.Stamp, req.Incarnation
		}
		req.Starts = append(req.Starts, worker.Start{
			Attempt: start.Attempt, Size: start.Size, Lease: start.Lease, Command: start.Command,
		})
	}
	h.starts = h.starts[n:]
	return req, true
}

// refuseQueued reports the queued starts of a host to the scheduler as refused.
// s.mu must be held.
func (s *Dispatcher) refuseQueued(h *host, reason string) {
	for _, start := range h.starts {
		delete(h.attempts, start.Attempt)
		s.apply(scheduler.TaskRefused{Attempt: start.Attempt, Host: h.entry.ID, Reason: reason})
	}
	h.starts = nil
	s.requestDecision()
}

// sendFailed handles a request without a response: starts that certainly did not
// reach the worker are refused, the others become unknown, and the stops and
// acknowledgements are queued again.
func (s *Dispatcher) sendFailed(h *host, req worker.ExchangeRequest, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	notRun := verdict.Of(err) == verdict.DidNotRun
	for _, start := range req.Starts {
		a := h.attempts[start.Attempt]
		switch {
		case a == nil:
		case notRun:
			delete(h.attempts, start.Attempt)
			s.apply(scheduler.TaskRefused{Attempt: start.Attempt, Host: h.entry.ID, Reason: "worker could not be reached"})
		default:
			a.state = attemptStartUnknown
			s.apply(scheduler.TaskStartUnknown{Attempt: start.Attempt, Host: h.entry.ID})
		}
	}
	h.stops = append(req.Stops, h.stops...)
	h.acks = append(h.acks, req.Acks...)
	h.failures++
	h.needsFullReport = true
	s.refreshHost(h)
	s.requestDecision()
}
