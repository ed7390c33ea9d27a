package schedule

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

// Run identifies a run of a task.
type Run struct {
	Task cell.TaskID
	Run  int64
}

// CloseHost closes a host for new work and returns the runs that may be present
// on it.
func (s *Scheduler) CloseHost(id string) (runs []Run) {
	h := s.hosts[id]
	if h == nil {
		return nil
	}
	h.closed = true
	h.settleEarlierRuns(GoneHostClosed, s.now)
	for _, a := range h.sortedRuns() {
		runs = append(runs, Run{Task: a.task.id, Run: a.run})
	}
	return runs
}

// OpenHost lets a closed host take new work again.
func (s *Scheduler) OpenHost(id string) {
	if h := s.hosts[id]; h != nil {
		h.closed = false
	}
}

// AssumeRunPresent records a run that the previous owner stored in the record of a
// closed host. It counts as present until reports of the host, or the end of its
// lease, show otherwise.
func (s *Scheduler) AssumeRunPresent(id string, r Run, now time.Duration) {
	s.now = now
	h, t := s.hosts[id], s.task(r.Task)
	if h == nil || t == nil || t.done || h.runs[runKey{r.Task, r.Run}] != nil {
		return
	}
	a := s.attach(t, h, r.Run)
	a.phase, a.unansweredAt, a.adopted = phaseUnanswered, now, true
	if t.group.step.Gang && t.group.run == 0 {
		t.group.run, t.group.startedAt = r.Run, now
	}
}
