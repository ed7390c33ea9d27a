package scheduler

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/scheduler/fairshare"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// teamRank is a team that may come first; rank is at most that of its next job.
type teamRank struct {
	team *team
	rank int64
}

// nextGroup returns the group that comes first over all teams, or nil. Teams
// are examined in the order of the best rank that they can have, so that most
// of them need no search of their queues.
func (s *Scheduler) nextGroup() *jobGroup {
	if len(s.unblocked) == 0 && len(s.freedHosts) == 0 {
		return nil
	}
	if groups, ok := s.matchingGroups(); ok {
		return s.firstGroup(groups)
	}
	for _, c := range classOrder {
		if g := s.nextGroupOfClass(c); g != nil {
			return g
		}
	}
	return nil
}

func (s *Scheduler) nextGroupOfClass(c work.Class) *jobGroup {
	s.teamOrder = s.teamOrder[:0]
	for _, t := range s.teamList {
		if oldest, ok := t.minOrderTime(c); ok && t.limit != nil {
			s.teamOrder = append(s.teamOrder, teamRank{team: t, rank: s.rank(t, oldest)})
		}
	}
	var best *jobGroup
	var rank int64
	at := 0
	for range s.teamOrder {
		next := -1
		for i, o := range s.teamOrder {
			if o.team != nil && (next < 0 || o.rank < s.teamOrder[next].rank) {
				next = i
			}
		}
		o := s.teamOrder[next]
		if best != nil && (rank < o.rank || (rank == o.rank && at < next)) {
			return best
		}
		s.teamOrder[next].team = nil
		g := s.firstGroupOfTeam(o.team, c)
		if s.examinedGroups > maxExaminedGroups {
			return nil
		}
		if g == nil {
			continue
		}
		if r := s.rank(o.team, g.first.orderTime); best == nil || r < rank || (r == rank && next < at) {
			best, rank, at = g, r, next
		}
	}
	return best
}

// minOrderTime returns a value that is at most the orderTime of each job that
// may start in class c, and whether there is a job.
func (t *team) minOrderTime(c work.Class) (minOrderTime time.Duration, ok bool) {
	minOrderTime, ok = t.queues[c].minOrderTime()
	if c != work.Normal {
		return minOrderTime, ok
	}
	if b, found := t.queues[work.Background].minOrderTime(); found && (!ok || b < minOrderTime) {
		return b, true
	}
	return minOrderTime, ok
}

func (s *Scheduler) rank(t *team, order time.Duration) int64 {
	return fairshare.SortKey(s.contract.Policy.ShareWeight, t.share*s.totalWeight/t.weight,
		s.now-order, s.contract.Policy.MaxWait)
}
