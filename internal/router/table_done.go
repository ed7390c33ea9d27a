package router

import "time"

// Done ends an attempt. After Unknown the slot stays taken until
// ResolveStatus or the maximum request time frees it.
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
		r.unknown[p.Attempt] = unknownSlot{id: id, since: now, until: now + t.options.MaxRequestTime}
	}
	trial := r.probing && r.probe == p.Attempt
	if trial {
		r.probing = false
	}
	switch result {
	case Answered:
		r.failures = 0
		if trial {
			r.ejected = false
		}
		r.sample(took)
	case Refused, Abandoned:
		if trial {
			r.retryAt = now + t.options.ProbationAfter
		}
	default:
		t.failed(now, r, trial, took)
	}
}

func (t *Table) failed(now time.Duration, r *runnerState, trial bool, took time.Duration) {
	r.failures++
	// A failure counts as at least the typical time of the upstream.
	r.sample(max(took, t.typicalLatency()))
	if trial {
		r.retryAt = now + t.options.ProbationAfter
		return
	}
	if r.ejected || r.failures < t.options.EjectFailures {
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

// UnknownRunners returns the runners that have slots in an unknown state.
func (t *Table) UnknownRunners() []Runner {
	var out []Runner
	for _, r := range t.runners {
		if len(r.unknown) > 0 {
			out = append(out, r.Runner)
		}
	}
	return out
}

// ResolveStatus frees unknown slots whose request a status, asked for at a
// time after the slot became unknown, no longer lists.
func (t *Table) ResolveStatus(asked time.Duration, runner string, listed []string, inFlight int) {
	r, ok := t.byID[runner]
	if !ok || len(listed) < inFlight {
		return
	}
	running := make(map[string]bool, len(listed))
	for _, id := range listed {
		running[id] = true
	}
	for attempt, u := range r.unknown {
		if asked > u.since && !running[u.id] {
			delete(r.unknown, attempt)
		}
	}
}

// Expire frees unknown slots after the maximum request time.
func (t *Table) Expire(now time.Duration) {
	for _, r := range t.runners {
		for attempt, u := range r.unknown {
			if now >= u.until {
				delete(r.unknown, attempt)
			}
		}
	}
	t.purge()
}
