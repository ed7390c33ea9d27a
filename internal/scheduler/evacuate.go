package scheduler

import (
	"github.com/medlarpulley/medlarpulley/internal/scheduler/service"
	"github.com/medlarpulley/medlarpulley/internal/work"
)

// evacuate stops service tasks on leaving hosts so that they restart elsewhere,
// for each job no more at once than its disruption bound allows. Non-idempotent
// tasks stay, since they must not start again.
func (s *Scheduler) evacuate() {
	kept := s.evacuating[:0]
	for _, h := range s.evacuating {
		if !h.gone && h.state == HostLeaving && s.evacuateHost(h) {
			kept = append(kept, h)
		}
	}
	clear(s.evacuating[len(kept):])
	s.evacuating = kept
}

// evacuateHost reports whether the host has tasks left to move.
func (s *Scheduler) evacuateHost(h *host) bool {
	left := false
	for _, a := range h.running {
		if a.job == nil || a.job.spec.Kind != work.Service || !a.job.spec.Idempotent || !a.current || a.ending() {
			continue
		}
		left = true
		if !s.actionsFull() && s.mayDisrupt(a.job) && s.chooseHost(a.job) != nil {
			s.stop(a, StopCheckpoint, "the host is leaving")
		}
	}
	return left
}

// mayDisrupt reports whether one more task of a service may be down.
func (s *Scheduler) mayDisrupt(j *job) bool {
	up := int32(0)
	j.forEachTask(func(_ int32, t *task) {
		if t.state == TaskRunning {
			up++
		}
	})
	return int(j.pending-up) < service.MaxDisrupted(int(j.pending))
}
