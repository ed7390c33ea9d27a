package schedule

import "time"

// quarantine is a host that is kept free for a group under trial. It implements
// trial.Quarantine.
type quarantine struct {
	s *Scheduler
	h *host
	g *group
}

func (q quarantine) Begun() bool   { return q.h.trial != nil }
func (q quarantine) Gone() bool    { return q.g.runsOn(q.h) == 0 }
func (q quarantine) Cleared() bool { return q.h.trial.clearsTask(q.s.now) }
func (q quarantine) Wanted() bool {
	return q.h.usable(q.s.now) && q.g.waiting > 0 && q.g.ready && q.s.underTrial(q.g.job)
}
func (q quarantine) AwaitsAdvice() bool   { return q.g.advice.awaited() }
func (q quarantine) UseBy() time.Duration { return q.h.useBy }
