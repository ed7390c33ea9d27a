package scheduler

import "github.com/medlarpulley/medlarpulley/internal/work"

// maxMatchingGroups bounds the groups and maxMatchingComparisons the
// comparisons of matchingGroups. If more groups fit, searching the queues in
// order finds the first of them sooner.
const (
	maxMatchingGroups      = 128
	maxMatchingComparisons = 512
)

// matchingGroups returns the groups whose requirements are not blocked or fit
// freed hosts, unless there are too many. A group may be in the list twice.
func (s *Scheduler) matchingGroups() (list []*jobGroup, ok bool) {
	s.matching = s.matching[:0]
	for _, req := range s.unblocked {
		if !s.addMatching(req) {
			return nil, false
		}
	}
	left, ok := maxMatchingComparisons, true
	for _, h := range s.freedHosts {
		free := h.view.Free
		s.waitingRequirements.visit(free, func(req *requirement) bool {
			if left--; left < 0 {
				ok = false
				return false
			}
			ok = !req.key.size.Fits(free) || !s.mayFit(req) || s.addMatching(req)
			return ok
		})
		if !ok {
			return nil, false
		}
	}
	return s.matching, true
}

// addMatching adds the groups of a requirement to the matching ones and reports
// whether there are not too many yet.
func (s *Scheduler) addMatching(req *requirement) bool {
	for _, g := range req.groups {
		if g.listed && g.team.limit != nil && (!s.paused.NonIdempotent || g.key.idempotent) {
			s.matching = append(s.matching, g)
		}
	}
	return len(s.matching) <= maxMatchingGroups
}

// firstGroup returns the group of the list that comes first, by the same order
// as nextGroupOfClass, or nil.
func (s *Scheduler) firstGroup(list []*jobGroup) *jobGroup {
	s.matchingTeams = s.matchingTeams[:0]
	for _, g := range list {
		t := g.team
		if t.firstGroups == [classCount]*jobGroup{} {
			s.matchingTeams = append(s.matchingTeams, t)
		}
		if head := &t.firstGroups[g.key.class]; *head == nil || g.first.before((*head).first) {
			*head = g
		}
	}
	var best *jobGroup
	for _, c := range classOrder {
		if best = s.firstGroupOfClass(c); best != nil {
			break
		}
	}
	for _, t := range s.matchingTeams {
		t.firstGroups = [classCount]*jobGroup{}
	}
	return best
}

func (s *Scheduler) firstGroupOfClass(c work.Class) (best *jobGroup) {
	rank := int64(0)
	for _, t := range s.matchingTeams {
		g := t.firstGroups[c]
		if c == work.Normal {
			g = s.preferAgedBackground(g, t.firstGroups[work.Background])
		}
		if g == nil {
			continue
		}
		if r := s.rank(t, g.first.orderTime); best == nil || r < rank || (r == rank && t.index < best.team.index) {
			best, rank = g, r
		}
	}
	return best
}
