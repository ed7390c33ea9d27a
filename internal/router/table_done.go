package router

import "time"

// Done ends an attempt. After Unknown or Abandoned the slot stays in use until
// ResolveStatus frees it or the maximum request time has passed.
func (t *Table) Done(now time.Duration, p Pick, result Result, took time.Duration) {
	r, ok := t.byID[p.Runner.ID]
	if !ok {
		return
	}
	id, ok := r.inFlight[p.Attempt]
	if !ok {
		return
	}
	delete(r.inFlight, p.Attempt)
	if result == Unknown || result == Abandoned {
		r.unknown[p.Attempt] = unknownSlot{id: id, since: now, expiresAt: now + t.options.MaxRequestTime}
	}
	trial := r.trialInFlight && r.trialAttempt == p.Attempt
	if trial {
		r.trialInFlight = false
	}
	switch result {
	case Answered:
		r.failures = 0
		if trial {
			r.ejected = false
		}
		r.addLatencySample(took)
	case NotRun, Abandoned:
		if trial {
			r.retryAt = now + t.options.ProbationAfter
		}
	default:
		t.recordFailure(now, r, trial, took)
	}
}

func (t *Table) recordFailure(now time.Duration, r *runnerState, trial bool, took time.Duration) {
	r.failures++
	// A failure counts with at least the mean latency of the upstream.
	r.addLatencySample(max(took, t.meanLatency()))
	if trial {
		r.retryAt = now + t.options.ProbationAfter
		return
	}
	if r.ejected || r.failures < t.options.EjectFailureThreshold {
		return
	}
	if (t.ejectedCount()+1)*100 <= len(t.runners)*t.options.EjectMaxPercent {
		r.ejected, r.retryAt = true, now+t.options.ProbationAfter
	}
}

func (t *Table) ejectedCount() int {
	n := 0
	for _, r := range t.runners {
		if r.ejected {
			n++
		}
	}
	return n
}

// UnknownRunners returns the runners that have slots whose request may still be
// running.
func (t *Table) UnknownRunners() []Runner {
	var out []Runner
	for _, r := range t.runners {
		if len(r.unknown) > 0 {
			out = append(out, r.Runner)
		}
	}
	return out
}

// ResolveStatus applies the list of requests that a runner has in flight, from a
// status call sent at askedAt. It frees slots in unknown state whose request is
// not listed, if they became unknown before the call. A list with fewer than
// inFlight ids is truncated and ignored.
func (t *Table) ResolveStatus(askedAt time.Duration, runner string, listed []string, inFlight int) {
	r, ok := t.byID[runner]
	if !ok || len(listed) < inFlight {
		return
	}
	running := make(map[string]bool, len(listed))
	for _, id := range listed {
		running[id] = true
	}
	for attempt, u := range r.unknown {
		if askedAt > u.since && !running[u.id] {
			delete(r.unknown, attempt)
		}
	}
}

// Expire frees slots in unknown state after the maximum request time.
func (t *Table) Expire(now time.Duration) {
	for _, r := range t.runners {
		for attempt, u := range r.unknown {
			if now >= u.expiresAt {
				delete(r.unknown, attempt)
			}
		}
	}
	t.removeDrained()
}
