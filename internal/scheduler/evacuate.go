package scheduler

import (
	"github.com/medlarpulley/medlarpulley/internal/scheduler/service"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// evacuate moves service tasks off leaving hosts, for each job no more at once
// than its disruption bound. Non-idempotent tasks stay, since they may not
// start again.
func (s *Scheduler) evacuate() {
	kept := s.moving[:0]
	for _, h := range s.moving {
		if !h.gone && h.state == HostLeaving && s.evacuateHost(h) {
			kept = append(kept, h)
		}
	}
	clear(s.moving[len(kept):])
	s.moving = kept
}

// evacuateHost reports whether tasks are left to be moved.
func (s *Scheduler) evacuateHost(h *host) bool {
	left := false
	for _, a := range h.running {
		if a.job == nil || a.job.spec.Kind != work.Service || !a.job.spec.Idempotent || !a.current || a.ending() {
			continue
		}
		left = true
		if !s.full() && s.mayDisrupt(a.job) && s.pickHost(a.job) != nil {
			s.stop(a, StopCheckpoint, "the host is leaving")
		}
	}
	return left
}

// mayDisrupt reports whether one more task of a service may be down.
func (s *Scheduler) mayDisrupt(j *job) bool {
	up := int32(0)
	j.each(func(_ int32, t *task) {
		if t.state == TaskRunning {
			up++
		}
	})
	return int(j.pending-up) < service.Disruptable(int(j.pending))
}
