package schedule

import "time"

const (
	// noProgressTimeout is how long the first run of a task may show no progress until it
	// counts as hung. It doubles each time that a run of the task was stopped for it, up to
	// maxNoProgressTimeout, since the task may wait for something.
	noProgressTimeout    = 1600 * time.Millisecond
	maxNoProgressTimeout = time.Hour
	// gangExitTimeout is how long the members of a gang may take to end by
	// themselves after one of them has ended.
	gangExitTimeout = time.Second
	// hungHostAvoidDuration is how long a host with a hung run gets no new work.
	hungHostAvoidDuration = 4 * time.Second
	// copyThresholdFactor times the estimate is how long a run may take until a
	// speculative copy is started.
	copyThresholdFactor = 2.5
	// minCopyThreshold is the shortest time until a copy is started. It keeps
	// short tasks, whose estimates are rough, from being copied.
	minCopyThreshold = 2 * time.Second
)

// stopHungAndCopySlowRuns stops hung runs, starts speculative copies of slow ones
// and stops gangs whose members have not ended after one of them has.
func (s *Scheduler) stopHungAndCopySlowRuns() {
	s.work.limit = s.work.used + s.maxHeadWork()/restDivisor
	for _, g := range s.liveGroups() {
		if g.memberEnded && s.now > g.memberEndedAt+gangExitTimeout {
			s.stopGroup(g, "another member of the gang has ended")
		}
		if !s.usageReported || g.left == 0 || g.job.state.Final() || g.step.BestEffort || g.step.LongRunning {
			continue
		}
		if g.step.Gang {
			s.stopHungGang(g)
			continue
		}
		s.stopHungRuns(g)
		if g.step.AllowCopies {
			s.copySlowRuns(g)
		}
	}
}

// hung reports whether a run shows no progress. One that asks for no processor need not use
// any.
func (s *Scheduler) hung(a *taskRun) bool {
	return a.phase == phaseRunning && a.host.reachable && a.task.group.step.Size.MilliCPU > 0 && s.now-a.lastProgressAt > a.task.countedAt().noProgressTimeout()
}

// noProgressTimeout returns how long a run of the task, or of its gang, may show no progress
// until it counts as hung.
func (t *task) noProgressTimeout() time.Duration {
	const enough = 20 // doublings exceed the longest timeout, and do not overflow
	return min(noProgressTimeout<<min(t.hungRuns, enough), maxNoProgressTimeout)
}

// stopHungRuns stops the runs of a group that show no progress.
func (s *Scheduler) stopHungRuns(g *group) {
	for _, t := range g.tasks {
		if len(t.runs) != 1 || t.done || !s.hung(t.runs[0]) {
			continue
		}
		a := t.runs[0]
		if t.hungRuns == 0 {
			// Later on the task is the more likely cause.
			a.host.health.avoid(s.now, hungHostAvoidDuration)
		}
		t.hungRuns++
		t.failedOn = a.host.spec.ID
		s.stop(a, "the run makes no progress")
	}
}

// copySlowRuns starts copies of the slow runs of a group, as far as the work of one decision
// allows.
func (s *Scheduler) copySlowRuns(g *group) {
	var hosts []*host // those that could take a copy; looked up for the first slow run
	for _, t := range g.tasks {
		if len(t.runs) != 1 || t.done || !s.isSlow(t.runs[0]) {
			continue
		}
		if s.work.exhausted() || !s.hasStartRoom() || g.job.team.tasksUnderLimit(g.step.Size, g.urgent()) < 1 {
			return
		}
		if hosts == nil {
			hosts = s.hostsForCopies(g)
		}
		if len(hosts) == 0 {
			return
		}
		s.copyRun(t, hosts)
	}
}

// isSlow reports whether a run has taken so long that a copy of it may be started.
func (s *Scheduler) isSlow(a *taskRun) bool {
	if slow, known := s.isSlowByLearned(a); known {
		return slow && a.phase == phaseRunning && !a.adopted
	}
	return s.isSlowByEstimate(a)
}

// isSlowByEstimate reports whether a run has exceeded its estimate so far that a copy of it
// may be started.
func (s *Scheduler) isSlowByEstimate(a *taskRun) bool {
	threshold := max(time.Duration(copyThresholdFactor*float64(a.task.group.step.Estimate)), minCopyThreshold)
	return a.phase == phaseRunning && !a.adopted && s.now-a.orderedAt >= threshold
}

// hostsForCopies returns the hosts on which a copy of a task of a group fits now.
func (s *Scheduler) hostsForCopies(g *group) (hosts []*host) {
	for _, h := range s.sortedHosts {
		if _, ok := g.ticketFor(h, s.now); ok && s.eligible(g, h) && s.tasksThatFit(g, h) > 0 {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// copyRun starts a copy of the run of a task on one of the hosts that is no slower.
func (s *Scheduler) copyRun(t *task, hosts []*host) {
	a := t.runs[0]
	var others []*host
	for _, h := range hosts {
		if h != a.host && s.noSlower(h, a.host) {
			others = append(others, h)
		}
	}
	s.work.used += len(hosts)
	if h := s.bestHost(t.group, others, t); h != nil {
		s.logMessage(t.id.Submission, h.spec.ID, "A copy of a slow run is started.")
		s.logCopy(a)
		s.start(t, h, t.lastRun+1)
	}
}

// stopHungGang stops a gang if every member is hung. A single member without
// progress is normal: the work of members differs, and those that have finished
// theirs wait for the rest.
func (s *Scheduler) stopHungGang(g *group) {
	if g.present < g.left || g.memberEnded || g.stopping() {
		return
	}
	for _, t := range g.tasks {
		for _, a := range t.runs {
			if !s.hung(a) || s.now-a.acceptedAt < s.options.GangTimeout {
				return
			}
		}
	}
	g.tasks[0].hungRuns++
	s.stopGroup(g, "no member of the gang makes progress")
}
