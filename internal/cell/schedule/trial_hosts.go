package schedule

import (
	"cmp"
	"slices"
)

// callsPerTrialHost limits the calls for advice about hosts that are not decided, for
// each host that a trial may take now. More groups than that would ask about the same hosts.
const callsPerTrialHost = 2

// trialPass is one choice of the hosts that are kept free for work under trial.
type trialPass struct {
	s *Scheduler
	// most is how many hosts may be held, held how many are, and calls how many more calls
	// for advice may be requested.
	most, held, calls int
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
		if p.held >= p.most && p.calls <= 0 || !p.examine(g, i == 0) {
			return
		}
	}
}

// newTrialPass counts the hosts that are held, and the calls for advice in flight.
func (s *Scheduler) newTrialPass(waiting []*group) *trialPass {
	p := &trialPass{s: s, most: s.maxTrialHosts()}
	takes, inFlight := 0, 0
	for _, h := range s.sortedHosts {
		switch g := h.quarantinedFor; {
		case g == nil:
			if h.usable(s.now) && s.emptyBy(h, s.now+soonEmpty) {
				takes++
			}
		case h.usable(s.now):
			g.trialRoom += max(h.trialRoom-g.runsOn(h), 0)
			p.held++
		default:
			p.held++
		}
	}
	for _, g := range waiting {
		if g.advice.inFlight {
			inFlight++
		}
		if s.mayShareHosts(g) {
			takes++
		}
	}
	p.calls = callsPerTrialHost*max(min(takes, p.most-p.held), 1) - inFlight
	return p
}

// trialOrder returns groups in the order in which hosts are kept free for them: those
// that are least likely to crash a host come first, but one in agedTrialInterval trials
// goes to the suspect that has waited longest, so that each has its turn.
func (s *Scheduler) trialOrder(waiting []*group) []*group {
	blame := make(map[*job]float64) // it examines all tasks of a job
	var oldest *group
	for _, g := range waiting {
		if _, ok := blame[g.job]; !ok {
			s.examine(g.job)
			blame[g.job] = g.job.blame()
		}
		if !g.job.suspected {
			continue
		}
		g.trialWait.Begin(s.now)
		if oldest == nil || g.trialWait.Since < oldest.trialWait.Since {
			oldest = g
		}
	}
	slices.SortStableFunc(waiting, func(a, b *group) int { return cmp.Compare(blame[a.job], blame[b.job]) })
	if i := slices.Index(waiting, oldest); i > 0 && s.trials%agedTrialInterval == 0 {
		waiting = slices.Insert(slices.Delete(waiting, i, i+1), 0, oldest)
	}
	return waiting
}

// trialTurn returns the groups for which hosts are chosen in this decision: all of them,
// or as many as the work of a decision allows. Half of these are the first ones, the others
// take turns.
func (s *Scheduler) trialTurn(order []*group) []*group {
	most := max(s.maxHeadWork()/restDivisor/max(len(s.sortedHosts), 1), 2)
	if len(order) <= most {
		return order
	}
	head, rest := order[:most/2:most/2], order[most/2:]
	from := s.lastTrialTurn % len(rest)
	to := min(from+most-len(head), len(rest))
	s.lastTrialTurn = to
	return append(head, rest[from:to]...)
}

// examine keeps hosts free for a group, if there are any for it. It reports false if the
// groups after it must not take hosts in this pass.
func (p *trialPass) examine(g *group, first bool) bool {
	if p.held >= p.most {
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
	g.trialWait.TooWide = g.trialWait.NotTried || g.step.Gang && needed > p.most
	if g.trialWait.TooWide {
		return true
	}
	first = first && g.waitsLong(s.now)
	await := g.trialWait.MayAwaitHosts(first, g.job.suspected, s.quarantinedAt, s.now) || p.held < s.unusedHosts && s.risk(g.job).TrialsCrash(s.now)
	chosen := s.hostsForTrial(g, missing, p.most, await)
	switch {
	case chosen == nil:
		if p.askedFor(g, needed) {
			return true
		}
		if g.step.Gang {
			s.giveUpTrial(g)
		}
	case p.held+len(chosen) <= p.most:
		s.keepFree(g, chosen)
		p.held += len(chosen)
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
		if p.s.eligible(g, h) && !g.approved(h) && !g.advice.denied[h] && (needed == 0 || p.s.trialRoom(g, h, soon) > 0) {
			p.ask(g)
			return true
		}
	}
	return g.advice.inFlight
}

func (p *trialPass) ask(g *group) {
	if p.calls > 0 && p.s.mayRequestAdvice(g) {
		p.calls--
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
func (s *Scheduler) keepFree(g *group, chosen []trialHost) {
	for _, o := range chosen {
		o.host.quarantinedFor, o.host.trialRoom = g, o.room
		o.host.useBy = max(o.at, s.now+g.adviceDuration()) + maxQuarantineIdle
		g.trialRoom += o.room
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

// maxTrialHosts returns how many hosts work under trial may hold at one time, those that
// are down after a trial included: a small part of all hosts, a larger part if it includes
// all hosts that are down after the start of a task, those that no other work needs, or as
// many as leave it half of all capacity.
func (s *Scheduler) maxTrialHosts() int {
	n := s.hostsInService()
	return max(1, n/hostsPerTrial, n/hostsPerCrash-s.crashedHosts, s.spareHosts(), s.unusedHosts)
}

// spareHosts returns how many of the idle hosts no other work needs: all but a
// reserve. One host at least is kept for what comes while the others are held.
func (s *Scheduler) spareHosts() int {
	return s.idleHosts - max(s.hostsInService()/hostsPerTrial, 1)
}

// trialHostsNeeded returns how many of the hosts on which a group may run its trial
// needs at least; zero if they cannot hold it at all.
func (s *Scheduler) trialHostsNeeded(g *group) (n int) {
	var rooms []int
	for _, h := range s.approvedHosts(g) {
		if s.suitable(g, h) {
			rooms = append(rooms, g.limitPerHost(tasksIn(g.size, h.spec.Capacity)))
		}
	}
	slices.SortFunc(rooms, func(a, b int) int { return cmp.Compare(b, a) })
	left := g.trialWidth()
	for _, room := range rooms {
		if left <= 0 {
			break
		}
		left -= room
		n++
	}
	if left > 0 {
		return 0
	}
	return n
}

// limitPerHost returns the given number of tasks, bounded by the step's limit per host.
func (g *group) limitPerHost(n int) int {
	if g.step.MaxPerHost > 0 {
		return min(n, g.step.MaxPerHost)
	}
	return n
}
