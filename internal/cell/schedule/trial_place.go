package schedule

// placeTrial starts one waiting task, or the gang, of a job under trial on hosts that
// are kept free of other work.
func (s *Scheduler) placeTrial(g *group, reservingGangs *int) {
	switch {
	case !s.readyForTrial(g):
		s.setWaitReason(g, waitTrial)
		return
	case g.job.team.tasksUnderLimit(g.step.Size, g.urgent()) < g.trialWidth():
		s.setWaitReason(g, waitLimit)
		s.holdLimitForTrial(g)
		return
	case g.trialRoom > 0 || g.run != 0:
	case g.trialWait.TooWide && g.step.Gang:
		s.placeGang(g, reservingGangs)
		return
	case g.trialWait.TooWide:
		s.placeTasks(g, 1)
		return
	default:
		s.setWaitReason(g, waitTrial)
		return
	}
	g.trial = true
	if g.step.Gang {
		s.placeTrialGang(g)
	} else {
		s.placeTasks(g, 1)
	}
	g.trial = false
	s.holdLimitForTrial(g)
}

// holdLimitForTrial keeps the limit of its team for a gang that waits for it, or for the
// hosts that are kept free for it, as for other gangs.
func (s *Scheduler) holdLimitForTrial(g *group) {
	if g.step.Gang && g.run == 0 && g.waiting > 0 {
		s.holdLimit(g, g.waiting)
	}
}

// placeTrialGang starts the members of a gang on the hosts that are kept free for it, or
// requests tickets for them.
func (s *Scheduler) placeTrialGang(g *group) {
	tasks := g.waitingTasks()
	if g.run != 0 {
		s.retryRefusedMembers(g, tasks)
		return
	}
	if g.job.team.tasksUnderLimit(g.step.Size, g.urgent()) < len(tasks) {
		s.setWaitReason(g, waitLimit)
		return
	}
	var kept, withTicket []*host
	for _, h := range s.sortedHosts {
		if !s.eligible(g, h) || s.tasksThatFit(g, h) < 1 {
			continue
		}
		kept = append(kept, h)
		if _, ok := g.ticketFor(h, s.now); ok {
			withTicket = append(withTicket, h)
		}
	}
	if hosts := s.assignHosts(g, withTicket, len(tasks)); hosts != nil {
		s.setWaitReason(g, waitNone)
		if s.hasStartRoom() && !s.gangsHeld {
			s.startGang(g, tasks, hosts)
		}
		return
	}
	s.setWaitReason(g, waitTrial)
	if hosts := s.assignHosts(g, kept, len(tasks)); hosts != nil {
		s.setWaitReason(g, waitTickets)
		s.renewTickets(g, hosts)
	}
}
