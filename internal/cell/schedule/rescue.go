package schedule

import "time"

const (
	// standstill is how long a run may show no progress before it counts as hung.
	standstill = 1600 * time.Millisecond
	// breakWithin is how long the members of a gang may take to end by themselves
	// after one of them has ended.
	breakWithin = time.Second
	// hungAvoid is how long a host with a hung run gets no work.
	hungAvoid = 4 * time.Second
	// copyFactor is how many estimates a run may take before a copy is started.
	copyFactor = 2.5
	// minCopyAfter keeps short tasks, whose estimates are rough, from being copied.
	minCopyAfter = 2 * time.Second
)

// rescue ends or copies runs that stand still or take far too long.
func (s *Scheduler) rescue() {
	for _, g := range s.groups {
		if g.breaking && s.now > g.brokenAt+breakWithin {
			s.stopGroup(g, "the rest of a gang that has lost a member")
		}
		if !s.usageSeen || g.left == 0 || g.job.state.Final() || g.step.Fills || g.step.Lasting {
			continue
		}
		if g.step.Gang {
			s.rescueGang(g)
			continue
		}
		for _, t := range g.tasks {
			if len(t.attempts) == 1 && !t.done {
				s.rescueTask(g, t, t.attempts[0])
			}
		}
	}
}

func (s *Scheduler) hung(a *attempt) bool {
	return a.phase == phaseRunning && a.host.reachable && s.now-a.movedAt > standstill
}

func (s *Scheduler) rescueTask(g *group, t *task, a *attempt) {
	if s.hung(a) {
		a.host.health.avoid(s.now, hungAvoid)
		t.failedOn = a.host.spec.ID
		s.stop(a, "the run stands still")
		return
	}
	late := max(time.Duration(copyFactor*float64(g.step.Estimate)), minCopyAfter)
	if !g.step.Copies || a.phase != phaseRunning || a.adopted || s.now-a.orderedAt < late || g.job.team.room(g.step.Size, g.urgent()) < 1 {
		return
	}
	var others []*host
	for _, h := range s.order {
		if _, ok := g.ticketFor(h, s.now); ok && h != a.host && s.eligible(g, h) && h.health.slowness <= a.host.health.slowness {
			others = append(others, h)
		}
	}
	if h := s.best(g, others, t); h != nil {
		s.note(t.id.Submission, h.spec.ID, "A copy of a slow run is started.")
		s.start(t, h, t.lastRun+1)
	}
}

// rescueGang ends a gang of which every member stands still. A single member
// may: the work of members differs, and those that are through wait for the rest.
func (s *Scheduler) rescueGang(g *group) {
	if g.present < g.left || g.breaking || g.stopping() {
		return
	}
	for _, t := range g.tasks {
		for _, a := range t.attempts {
			if !s.hung(a) || s.now-a.acceptedAt < s.o.GangTimeout {
				return
			}
		}
	}
	s.stopGroup(g, "the gang stands still")
}
