package schedule

import "github.com/medlarpulley/medlarpulley/internal/cell/trial"

// trialPass is one choice of the hosts that are kept free for work under trial.
type trialPass struct {
	*trial.Pass
	s *Scheduler
}

// chooseTrialHosts chooses the hosts that are kept free of other work for the groups
// under trial in the queue.
func (s *Scheduler) chooseTrialHosts(queue []queueEntry) {
	var waiting []*group
	unready := make(map[*job]bool) // jobs of which a group that is not a gang has to wait
	for _, e := range queue {
		g := e.group
		g.trialRoom = 0
		switch {
		case !e.underTrial:
			g.trialWait.Since = 0
		case !g.step.Gang && unready[g.job]:
		case s.readyForTrial(g):
			waiting = append(waiting, g)
		case !g.step.Gang:
			unready[g.job] = true
		}
	}
	if len(waiting) == 0 {
		return
	}
	p := s.newTrialPass(waiting)
	for i, g := range s.trialTurn(s.trialOrder(waiting)) {
		if p.Over() || !p.examine(g, i == 0) {
			return
		}
	}
}

// newTrialPass counts the hosts that are held, and the calls for advice in flight.
func (s *Scheduler) newTrialPass(waiting []*group) *trialPass {
	takes, held, inFlight := 0, 0, 0
	for _, h := range s.sortedHosts {
		switch g := h.quarantinedFor; {
		case g == nil:
			if h.usable(s.now) && s.emptyBy(h, s.now+soonEmpty) {
				takes++
			}
		case h.usable(s.now):
			g.trialRoom += max(h.trialRoom-g.runsOn(h), 0)
			held++
		default:
			held++
		}
	}
	for _, g := range waiting {
		if g.advice.awaited() {
			inFlight++
		}
		if s.mayShareHosts(g) {
			takes++
		}
	}
	return &trialPass{trial.NewPass(s.trialCapacity.MaxHosts(s.hostsInService()), held, takes, inFlight), s}
}

// trialOrder returns groups in the order in which hosts are kept free for them.
func (s *Scheduler) trialOrder(waiting []*group) []*group {
	blame := make(map[*job]float64) // it examines all tasks of a job
	list := make([]trial.Candidate[*group], len(waiting))
	for i, g := range waiting {
		if _, ok := blame[g.job]; !ok {
			s.examine(g.job)
			blame[g.job] = g.job.blame()
		}
		list[i] = trial.Candidate[*group]{Work: g, Blame: blame[g.job], Suspected: g.job.suspected, Wait: &g.trialWait}
	}
	return trial.Order(list, s.trials, s.now)
}

// trialTurn returns the groups for which hosts are chosen in this decision: all of them,
// or as many as the work of a decision allows.
func (s *Scheduler) trialTurn(order []*group) []*group {
	most := max(s.maxHeadWork()/restDivisor/max(len(s.sortedHosts), 1), 2)
	return trial.Turn(order, most, &s.lastTrialTurn)
}

// examine keeps hosts free for a group, if there are any for it. It reports false if the
// groups after it must not take hosts in this pass.
func (p *trialPass) examine(g *group, first bool) bool {
	if p.Full() {
		if g.policy() != nil && len(g.advice.tickets)+len(g.advice.denied) == 0 {
			p.ask(g)
		}
		p.s.giveUpTrial(g)
		g.trialWait.TooWide = g.trialWait.NotTried
		return true
	}
	s := p.s
	missing := g.trialWidth() - g.trialRoom
	if missing <= 0 || g.job.team.tasksUnderLimit(g.step.Size, g.urgent()) < g.trialWidth() {
		return true
	}
	needed := s.trialHostsNeeded(g)
	g.trialWait.TooWide = g.trialWait.NotTried || g.step.Gang && needed > p.Most()
	if g.trialWait.TooWide {
		return true
	}
	first = first && g.waitsLong(s.now)
	await := g.trialWait.MayAwaitHosts(first, g.job.suspected, s.quarantinedAt, s.now) || p.Held() < s.trialCapacity.Unused() && s.risk(g.job).TrialsCrash(s.now)
	chosen := s.hostsForTrial(g, missing, p.Most(), await)
	switch {
	case chosen == nil:
		if p.askedFor(g, needed) {
			return true
		}
		if g.step.Gang {
			s.giveUpTrial(g)
		}
	case p.Take(len(chosen)):
		s.keepFree(g, chosen)
	default:
		return !first // others must not take the hosts that it waits for, again and again
	}
	return true
}

// askedFor requests advice for a group about hosts that are not decided, if the approved
// ones cannot hold it or others would be free for it. It reports whether advice is awaited.
func (p *trialPass) askedFor(g *group, needed int) bool {
	if g.policy() == nil {
		return false
	}
	soon := p.s.now + soonEmpty
	for _, h := range p.s.sortedHosts {
		if p.s.eligible(g, h) && g.undecided(h) && (needed == 0 || p.s.trialRoom(g, h, soon) > 0) {
			p.ask(g)
			return true
		}
	}
	return g.advice.awaited()
}

func (p *trialPass) ask(g *group) {
	if p.MayAsk() && p.s.mayRequestAdvice(g) {
		p.Asked()
		p.s.requestAdviceOnUndecidedHosts(g)
	}
}

// giveUpTrial starts a suspect like other work if no hosts for its trial were found for very
// long, though it might share them: it would need more than a trial may hold, or others
// hold them.
func (s *Scheduler) giveUpTrial(g *group) {
	if g.run == 0 && s.mayShareHosts(g) && g.trialWait.GivesUp(s.now) {
		g.trialWait.NotTried = true
		s.logMessage(g.id.Submission, "", "A suspect is not tried alone, since no hosts for it were found for long.")
	}
}

// keepFree keeps hosts free of other work for a group.
func (s *Scheduler) keepFree(g *group, chosen []trial.Option[*host]) {
	for _, o := range chosen {
		o.Host.quarantinedFor, o.Host.trialRoom = g, o.Room
		o.Host.useBy = max(o.At, s.now+g.adviceDuration()) + trial.MaxIdle
		g.trialRoom += o.Room
	}
	s.quarantinedAt = s.now
	s.trials++
}

// trialWidth returns how many waiting tasks of the group start together in a trial.
func (g *group) trialWidth() int {
	if g.step.Gang {
		return g.waiting
	}
	return 1
}

// spareHosts returns how many of the idle hosts no other work needs.
func (s *Scheduler) spareHosts() int { return s.trialCapacity.Spare(s.hostsInService()) }

// trialHostsNeeded returns how many of the hosts on which a group may run its trial
// needs at least; zero if they cannot hold it at all.
func (s *Scheduler) trialHostsNeeded(g *group) int {
	var rooms []int
	for _, h := range s.approvedHosts(g) {
		if s.suitable(g, h) {
			rooms = append(rooms, g.limitPerHost(tasksIn(g.size, h.spec.Capacity)))
		}
	}
	return trial.HostsNeeded(rooms, g.trialWidth())
}

// limitPerHost returns the given number of tasks, bounded by the step's limit per host.
func (g *group) limitPerHost(n int) int {
	if g.step.MaxPerHost > 0 {
		return min(n, g.step.MaxPerHost)
	}
	return n
}
