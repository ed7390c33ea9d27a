package scheduler

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/scheduler/fairshare"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// teamRank is a team that may go first; rank is at most that of its next job.
type teamRank struct {
	team *team
	rank int64
}

// nextLane returns the lane that goes first over all teams, or nil. Teams are
// asked in the order of the best rank that they can have, so that most need
// not search their queues.
func (s *Scheduler) nextLane() *lane {
	if len(s.untried) == 0 && len(s.open) == 0 {
		return nil
	}
	if lanes, ok := s.fitting(); ok {
		return s.firstOf(lanes)
	}
	for _, c := range classOrder {
		if l := s.nextOf(c); l != nil {
			return l
		}
	}
	return nil
}

func (s *Scheduler) nextOf(c work.Class) *lane {
	s.order = s.order[:0]
	for _, t := range s.teamList {
		if oldest, ok := t.oldest(c); ok && t.limit != nil {
			s.order = append(s.order, teamRank{team: t, rank: s.rank(t, oldest)})
		}
	}
	var best *lane
	var rank int64
	at := 0
	for range s.order {
		next := -1
		for i, o := range s.order {
			if o.team != nil && (next < 0 || o.rank < s.order[next].rank) {
				next = i
			}
		}
		o := s.order[next]
		if best != nil && (rank < o.rank || (rank == o.rank && at < next)) {
			return best
		}
		s.order[next].team = nil
		l := s.headOf(o.team, c)
		if s.examined > laneBudget {
			return nil
		}
		if l == nil {
			continue
		}
		if r := s.rank(o.team, l.first.order); best == nil || r < rank || (r == rank && next < at) {
			best, rank, at = l, r, next
		}
	}
	return best
}

// oldest returns a value that is at most the order of each job that may go in
// class c, and whether there is a job.
func (t *team) oldest(c work.Class) (oldest time.Duration, ok bool) {
	oldest, ok = t.queues[c].first()
	if c != work.Normal {
		return oldest, ok
	}
	if b, found := t.queues[work.Background].first(); found && (!ok || b < oldest) {
		return b, true
	}
	return oldest, ok
}

func (s *Scheduler) rank(t *team, order time.Duration) int64 {
	return fairshare.Order(s.contract.Policy.ShareWeight, t.share*s.weights/t.weight,
		s.now-order, s.contract.Policy.MaxWait)
}
