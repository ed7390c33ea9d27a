package scheduler

import (
	"cmp"
	"slices"
)

// shrink stops idempotent tasks of limits that are over their allotment, least
// lost work first, until the rest fits.
func (s *Scheduler) shrink() {
	if len(s.overLimits) == 0 {
		return
	}
	list := s.overLimits
	s.overLimits = nil
	for i, l := range list {
		l.over = false
		if s.full() {
			s.overLimits = append(s.overLimits, list[i:]...)
			for _, k := range list[i:] {
				k.over = true
			}
			return
		}
		s.shrinkLimit(l)
	}
}

func (s *Scheduler) shrinkLimit(l *limit) {
	over := l.used - l.allotted
	var list []*attempt
	for _, h := range s.hostList {
		if h == nil {
			continue
		}
		for _, a := range h.running {
			if a.charged == nil || a.charged.limit != l {
				continue
			}
			if a.ending() {
				over -= a.cost
			} else if a.job.spec.Idempotent && a.current {
				list = append(list, a)
			}
		}
	}
	// Newest first: the attempt that started last loses the least.
	slices.SortStableFunc(list, func(a, b *attempt) int { return cmp.Compare(b.started, a.started) })
	for _, a := range list {
		if over <= 0 {
			return
		}
		if a.ending() {
			continue
		}
		s.stop(a, StopCheckpoint, "over the limit "+l.spec.Name)
		over -= a.cost
	}
}
