package scheduler

import "github.com/medlarpulley/medlarpulley/internal/work"

// fewLanes bounds the lanes and fewShapes the comparisons of fitting. If more
// lanes fit, the first of them is found sooner in the order of the queues.
const (
	fewLanes  = 128
	fewShapes = 512
)

// fitting returns the lanes whose shapes were not tried yet or fit hosts that
// gained room, if they are few. A lane may be in the list twice.
func (s *Scheduler) fitting() (list []*lane, ok bool) {
	s.few = s.few[:0]
	for _, sh := range s.untried {
		if !s.gather(sh) {
			return nil, false
		}
	}
	left, ok := fewShapes, true
	for _, h := range s.open {
		free := h.view.Free
		s.wanted.visit(free, func(sh *shape) bool {
			if left--; left < 0 {
				ok = false
				return false
			}
			ok = !sh.key.size.Fits(free) || !s.candidate(sh) || s.gather(sh)
			return ok
		})
		if !ok {
			return nil, false
		}
	}
	return s.few, true
}

// gather adds the lanes of sh to the few and reports whether they are few still.
func (s *Scheduler) gather(sh *shape) bool {
	for _, l := range sh.lanes {
		if l.listed && l.team.limit != nil && (!s.paused.NonIdempotent || l.key.idempotent) {
			s.few = append(s.few, l)
		}
	}
	return len(s.few) <= fewLanes
}

// firstOf returns the lane of the list that goes first, as nextOf does for all
// lanes, or nil.
func (s *Scheduler) firstOf(list []*lane) *lane {
	s.touched = s.touched[:0]
	for _, l := range list {
		t := l.team
		if t.heads == [classCount]*lane{} {
			s.touched = append(s.touched, t)
		}
		if head := &t.heads[l.key.class]; *head == nil || l.first.before((*head).first) {
			*head = l
		}
	}
	var best *lane
	for _, c := range classOrder {
		if best = s.firstOfClass(c); best != nil {
			break
		}
	}
	for _, t := range s.touched {
		t.heads = [classCount]*lane{}
	}
	return best
}

func (s *Scheduler) firstOfClass(c work.Class) (best *lane) {
	rank := int64(0)
	for _, t := range s.touched {
		l := t.heads[c]
		if c == work.Normal {
			l = s.older(l, t.heads[work.Background])
		}
		if l == nil {
			continue
		}
		if r := s.rank(t, l.first.order); best == nil || r < rank || (r == rank && t.index < best.team.index) {
			best, rank = l, r
		}
	}
	return best
}
