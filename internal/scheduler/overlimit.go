package scheduler

import (
	"cmp"
	"slices"
)

// stopOverLimits stops idempotent tasks of limits that exceed their allotment,
// those with the least lost work first, until the rest fits.
func (s *Scheduler) stopOverLimits() {
	if len(s.overLimits) == 0 {
		return
	}
	list := s.overLimits
	s.overLimits = nil
	for i, l := range list {
		l.overAllotment = false
		if s.actionsFull() {
			s.overLimits = append(s.overLimits, list[i:]...)
			for _, k := range list[i:] {
				k.overAllotment = true
			}
			return
		}
		s.stopOverLimit(l)
	}
}

func (s *Scheduler) stopOverLimit(l *limit) {
	over := l.used - l.allotted
	var list []*attempt
	for _, h := range s.hostList {
		if h == nil {
			continue
		}
		for _, a := range h.running {
			if a.chargedTeam == nil || a.chargedTeam.limit != l {
				continue
			}
			if a.ending() {
				over -= a.cost
			} else if a.job.spec.Idempotent && a.current {
				list = append(list, a)
			}
		}
	}
	// Newest first: the attempt that started last loses the least work.
	slices.SortStableFunc(list, func(a, b *attempt) int { return cmp.Compare(b.started, a.started) })
	for _, a := range list {
		if over <= 0 {
			return
		}
		if a.ending() {
			continue
		}
		s.stop(a, StopCheckpoint, "over the allotment of limit "+l.spec.Name)
		over -= a.cost
	}
}
