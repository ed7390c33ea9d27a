package dispatch

import (
	"sort"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/scheduler"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// sortedAttempts returns the attempts in the order of their IDs, so that the order
// of the scheduler's events does not depend on map iteration.
func sortedAttempts(m map[work.AttemptID]*attempt) []*attempt {
	out := make([]*attempt, 0, len(m))
	for _, a := range m {
		out = append(out, a)
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i].id, out[j].id
		if a.Task.Job != b.Task.Job {
			return a.Task.Job < b.Task.Job
		}
		if a.Task.Index != b.Task.Index {
			return a.Task.Index < b.Task.Index
		}
		return a.Attempt < b.Attempt
	})
	return out
}

// endLostAttempts ends the attempts of earlier worker incarnations as lost: a
// restarted worker has none of its earlier tasks. A start that was sent to an
// earlier incarnation and not answered counts as lost too, because it may have
// run. s.mu must be held.
func (s *Dispatcher) endLostAttempts(h *host, incarnation uint64) {
	for _, a := range sortedAttempts(h.attempts) {
		if a.state == attemptSending || (a.state == attemptStartUnknown && a.sentIncarnation == incarnation) {
			continue
		}
		delete(h.attempts, a.id)
		s.apply(scheduler.TaskEnded{Attempt: a.id, Host: h.entry.ID, Outcome: work.Lost})
	}
}

// expireLeases ends the attempts on unreachable hosts whose leases have expired.
func (s *Dispatcher) expireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.o.Clock()
	for _, h := range s.hosts {
		if h.failures >= unreachableThreshold {
			s.expireHostLeases(h, now)
		}
	}
	s.releaseWithheld(now)
}

// expireHostLeases ends the attempts of one host whose leases have expired. It
// removes a leaving host once nothing can run there any more. s.mu must be held.
func (s *Dispatcher) expireHostLeases(h *host, now time.Duration) {
	longest := time.Duration(0)
	for _, a := range sortedAttempts(h.attempts) {
		expiresBy := h.lease.ExpiresBy(a.lease)
		if expiresBy > 0 && now > expiresBy && a.state != attemptSending {
			s.log.Info("Lease expired.", "shard", s.o.Shard, "host", h.entry.ID, "attempt", a.id.String())
			delete(h.attempts, a.id)
			s.apply(scheduler.TaskEnded{Attempt: a.id, Host: h.entry.ID, Outcome: work.Lost})
			continue
		}
		longest = max(longest, a.lease)
	}
	if len(h.attempts) == 0 && h.entry.Leaving && now > h.lease.ExpiresBy(longest) && (h.adopted || s.removable(h, now)) {
		s.removeHost(h)
	}
}

// removable reports whether a host that was never adopted can be removed because
// no unknown task can be left on it: no withheld job waits for its report, and
// it has not answered for unadoptedHostTimeout. s.mu must be held.
func (s *Dispatcher) removable(h *host, now time.Duration) bool {
	return len(s.withheldJobs) == 0 && now-h.lastHeard > unadoptedHostTimeout
}

// removeHost drops a host without attempts that the platform has removed. s.mu
// must be held.
func (s *Dispatcher) removeHost(h *host) {
	s.log.Info("Host removed.", "shard", s.o.Shard, "host", h.entry.ID)
	delete(s.hosts, h.entry.ID)
	delete(s.unadopted, h.entry.ID)
	s.removedHosts[h.entry.ID] = true
	close(h.stop)
	s.apply(scheduler.HostGone{Host: h.entry.ID})
}
