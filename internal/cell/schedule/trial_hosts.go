package schedule

import (
	"cmp"
	"slices"
)

// chooseTrialHosts chooses the hosts that are kept free of other work for the groups
// under trial in the queue.
func (s *Scheduler) chooseTrialHosts(queue []queueEntry) {
	var waiting [trialKinds][]*group
	for _, e := range queue {
		g := e.group
		if !e.underTrial {
			g.trialSince = 0
			if !e.awaitsFirstTask {
				s.soundWorkAt = s.now
			}
			continue
		}
		if g.policy() != nil && len(g.advice.tickets)+len(g.advice.denied) == 0 {
			s.requestAdviceOnUndecidedHosts(g)
		}
		if s.readyForTrial(g) {
			waiting[g.trialKind()] = append(waiting[g.trialKind()], g)
		}
	}
	s.trialBudget = s.newTrialBudget()
	for k := range trialKinds {
		s.trialBudget.waiting[k] = len(waiting[k]) > 0
	}
	s.assignTrialHosts(s.trialOrder(waiting[suspected]), suspected)
	s.assignTrialHosts(waiting[confined], confined)
}

// trialOrder returns suspects in the order in which hosts are kept free for them. Every
// second trial goes to the one that has waited longest, so that each has its turn, the
// others to those that are least likely to crash a host.
func (s *Scheduler) trialOrder(suspects []*group) []*group {
	blame := make(map[*group]float64, len(suspects))
	for _, g := range suspects {
		blame[g] = g.job.blame()
		if g.trialSince == 0 {
			g.trialSince = s.now
		}
	}
	byAge, byBlame := slices.Clone(suspects), slices.Clone(suspects)
	slices.SortStableFunc(byAge, func(a, b *group) int { return cmp.Compare(a.trialSince, b.trialSince) })
	slices.SortStableFunc(byBlame, func(a, b *group) int { return cmp.Compare(blame[a], blame[b]) })
	order := make([]*group, 0, len(byAge))
	listed := make(map[*group]bool, len(byAge))
	for i := range byAge {
		pair := []*group{byAge[i], byBlame[i]}
		if s.suspectTrials%2 == 1 {
			slices.Reverse(pair)
		}
		for _, g := range pair {
			if !listed[g] {
				listed[g] = true
				order = append(order, g)
			}
		}
	}
	return order
}

// assignTrialHosts keeps hosts free for groups under trial, in their order.
func (s *Scheduler) assignTrialHosts(groups []*group, k trialKind) {
	b := &s.trialBudget
	for _, g := range groups {
		if b.left(k) <= 0 {
			return
		}
		atLimit := g.job.team.tasksUnderLimit(g.step.Size, g.urgent()) < g.trialWidth()
		missing := s.missingTrialRoom(g)
		if atLimit || missing <= 0 || s.tooWideForTrial(g) {
			continue
		}
		chosen := s.hostsForTrial(g, missing, b.most(k))
		switch {
		case chosen == nil:
			s.handleNoTrialHosts(g)
		case len(chosen) <= b.left(k):
			s.keepFree(g, chosen)
			b.held[k] += len(chosen)
		case g.waitsLong(s.now):
			return // others must not take the hosts that it waits for, again and again
		}
	}
}

// handleNoTrialHosts asks for advice about more hosts for a group. A gang that has waited
// for very long is not tried alone: it would need more hosts than a trial may hold.
func (s *Scheduler) handleNoTrialHosts(g *group) {
	if g.policy() != nil && s.requestAdviceOnUndecidedHosts(g) {
		return
	}
	if g.step.Gang && g.trialSince != 0 && s.now >= g.trialSince+2*trialPatience {
		g.notTried = true
		s.logMessage(g.id.Submission, "", "A suspected gang is not tried alone, since no hosts for it were found for long.")
	}
}

// tooWideForTrial reports whether a gang is started like other work, since it cannot be
// tried on the hosts that a trial may hold.
func (s *Scheduler) tooWideForTrial(g *group) bool {
	if !g.step.Gang || s.missingTrialRoom(g) <= 0 {
		return false
	}
	needed := s.trialHostsNeeded(g)
	return g.notTried || needed == 0 || needed > s.trialBudget.most(g.trialKind())
}

// keepFree keeps hosts free of other work for a group.
func (s *Scheduler) keepFree(g *group, chosen []trialHost) {
	if len(chosen) == 0 {
		return
	}
	for _, o := range chosen {
		o.host.quarantinedFor, o.host.trialRoom = g, o.room
		o.host.useBy = max(o.at, s.now+g.adviceDuration()) + maxQuarantineIdle
	}
	if g.job.suspected {
		s.suspectTrials++
	} else {
		s.quarantinedAt = s.now
	}
}

// missingTrialRoom returns for how many tasks of a group no host is kept free yet.
func (s *Scheduler) missingTrialRoom(g *group) int {
	n := g.trialWidth()
	for _, h := range s.sortedHosts {
		if h.quarantinedFor == g && h.usable(s.now) {
			n -= max(h.trialRoom-g.runsOn(h), 0)
		}
	}
	return n
}

// trialWidth returns how many waiting tasks of the group start together in a trial.
func (g *group) trialWidth() int {
	if g.step.Gang {
		return g.waiting
	}
	return 1
}

// spareHosts returns how many of the idle hosts no other work needs: all but a
// reserve, or all if there has been no other work for a while.
func (s *Scheduler) spareHosts() int {
	if s.now > s.soundWorkAt+soundWorkMemory {
		return s.idleHosts
	}
	return s.idleHosts - len(s.sortedHosts)/hostsPerTrial
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
