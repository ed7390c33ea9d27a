package dispatch

import (
	"sort"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/scheduler"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// sortedAttempts returns attempts in a fixed order, so that the scheduler sees
// events in an order that does not depend on a map.
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

// loseAttempts ends the attempts of earlier incarnations: a restarted worker
// has none of its tasks. A start that was sent and not answered may have run.
func (s *Shard) loseAttempts(h *host, incarnation uint64) {
	for _, a := range sortedAttempts(h.attempts) {
		if a.state == attemptSending || (a.state == attemptUnknown && a.sentIncarnation == incarnation) {
			continue
		}
		delete(h.attempts, a.id)
		s.apply(scheduler.TaskEnded{Attempt: a.id, Host: h.entry.ID, Outcome: work.Lost})
	}
}

// expire ends the attempts whose leases are over on hosts that do not answer.
func (s *Shard) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.o.Clock()
	for _, h := range s.hosts {
		if h.failures >= unreachableAfter {
			s.expireHost(h, now)
		}
	}
	s.releaseHeld(now)
}

// expireHost ends the attempts of one host whose leases are over.
func (s *Shard) expireHost(h *host, now time.Duration) {
	longest := time.Duration(0)
	for _, a := range sortedAttempts(h.attempts) {
		over := h.lease.Over(a.lease)
		if over > 0 && now > over && a.state != attemptSending {
			s.log.Info("Lease is over.", "shard", s.o.Shard, "host", h.entry.ID, "attempt", a.id.String())
			delete(h.attempts, a.id)
			s.apply(scheduler.TaskEnded{Attempt: a.id, Host: h.entry.ID, Outcome: work.Lost})
			continue
		}
		longest = max(longest, a.lease)
	}
	if len(h.attempts) == 0 && h.entry.Leaving && now > h.lease.Over(longest) && (h.adopted || s.forgettable(h, now)) {
		s.removeHost(h)
	}
}

// forgettable reports whether a host that was never adopted can hide no task:
// nothing waits for it any more and it has not answered for a long time.
func (s *Shard) forgettable(h *host, now time.Duration) bool {
	return len(s.held) == 0 && now-h.lastHeard > forgetAfter
}

// removeHost forgets an empty host that the platform took away.
func (s *Shard) removeHost(h *host) {
	s.log.Info("Host removed.", "shard", s.o.Shard, "host", h.entry.ID)
	delete(s.hosts, h.entry.ID)
	delete(s.initial, h.entry.ID)
	s.removed[h.entry.ID] = true
	close(h.stop)
	s.apply(scheduler.HostGone{Host: h.entry.ID})
}
