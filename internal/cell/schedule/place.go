package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/trial"
	"github.com/medlarpulley/medlarpulley/internal/resource"
)

const (
	// Weights of the score of a host; a lower score is better. A host where the
	// task failed, another rack than the data and interference each outweigh
	// the remaining capacity. Among equal hosts the fullest is chosen, so that
	// small tasks fill up hosts and large ones fit on the others; for a
	// best-effort task it is the one with the most unused CPU.
	weightSlowness     = 0.5
	weightFailedBefore = 5.0
	weightRemoteData   = 2.0
	// periodicCheckInterval is the time between two checks of all groups and
	// hosts, for conditions that no event reports.
	periodicCheckInterval = 100 * time.Millisecond
	// minReservingGangs and hostsPerReservingGang limit the gangs for which capacity
	// is gathered at one time: more of them would keep most of the cell idle, and
	// fewer would make gangs wait for each other's advice.
	minReservingGangs     = 3
	hostsPerReservingGang = 16
	// extraTicketHosts is how many hosts beyond the needed ones a call that
	// renews tickets asks about, in case capacity is taken meanwhile.
	extraTicketHosts = 2
)

// Decide returns the orders to carry out next.
func (s *Scheduler) Decide(now, wall time.Duration) *Plan {
	s.now, s.wallClock = now, wall
	s.decision++
	s.work.groups = 0
	s.removeDoneGroups()
	s.createGroups()
	s.markDueGroupsReady()
	s.updateUnknownUsage()
	s.updateHostSpeeds()
	s.updateRisks()
	s.endTrials()
	queue := s.queue()
	s.beginPass(queue)
	s.chooseTrialHosts(queue)
	s.placeQueue(queue)
	s.noteHeldBack()
	if now >= s.nextPeriodicCheck {
		s.nextPeriodicCheck = now + periodicCheckInterval
		s.prefetchAdvice()
		s.stopIncompleteGangs()
		s.stopHungAndCopySlowRuns()
		s.stopInterferingTasks()
		s.risks.ForgetOld(s.now)
		s.updateGangMembers()
	}
	p := s.plan
	s.plan = &Plan{}
	return p
}

// place starts tasks of a waiting group, or prepares their start.
func (s *Scheduler) place(e queueEntry, reservingGangs *int) {
	g := e.group
	g.placedIn = s.work.pass
	s.work.used += workPerGroup
	if !e.underTrial && s.holdBack(g) {
		return
	}
	switch {
	case e.underTrial:
		s.placeTrial(g, reservingGangs)
	case e.awaitsFirstTask && g.run == 0:
		s.placeFirstTask(g, reservingGangs)
	case g.step.Gang:
		s.placeGang(g, reservingGangs)
	default:
		s.placeTasks(g, s.excessRoom(g))
	}
}

// placeFirstTask starts the first task, or the gang, of a submission whose queue has
// crashed hosts, if it may start now.
func (s *Scheduler) placeFirstTask(g *group, reservingGangs *int) {
	if !s.mayStartFirstTask(g.job) {
		s.setWaitReason(g, waitFirstTask)
		return
	}
	if g.step.Gang {
		s.placeGang(g, reservingGangs)
	} else {
		s.placeTasks(g, 1)
	}
	if g.advice.awaited() {
		s.risk(g.job).Preparing++
	}
}

// markDueGroupsReady marks the groups of occurrences that have become due as
// ready.
func (s *Scheduler) markDueGroupsReady() {
	for _, j := range s.timedJobs {
		if !j.state.Final() {
			s.markReadyGroups(j)
		}
	}
}

// beginPass begins a pass over the queue: it clears the reservations and leaves
// out the hosts that the smallest waiting task does not fit on. In a full cell
// these are nearly all hosts.
func (s *Scheduler) beginPass(queue []queueEntry) {
	s.hostsWithRoom = s.hostsWithRoom[:0]
	for _, t := range s.teams {
		t.beginPass(s.now)
	}
	s.expirePinned()
	if len(queue) == 0 {
		return
	}
	smallest := queue[0].group.size
	for _, e := range queue {
		smallest = smallest.Min(e.group.size)
	}
	var used, capacity, usedInService, capacityInService int64
	for _, h := range s.sortedHosts {
		h.reserved, h.reservedUntil, h.expectedEnds = resource.Vector{}, 0, nil
		used, capacity = used+h.used.MilliCPU, capacity+h.spec.Capacity.MilliCPU
		if !h.evacuated {
			usedInService, capacityInService = usedInService+h.used.MilliCPU, capacityInService+h.spec.Capacity.MilliCPU
		}
		if h.usable(s.now) && smallest.Fits(h.free()) {
			s.hostsWithRoom = append(s.hostsWithRoom, h)
		}
	}
	s.reservePinned()
	s.mostlyIdle = used < capacity/2 || usedInService < capacityInService/2
}

// eligible reports whether a host could take tasks of a group if they fitted.
func (s *Scheduler) eligible(g *group, h *host) bool {
	s.work.used++
	if g.step.BestEffort && s.now < h.bestEffortBlockedUntil {
		return false
	}
	if g.trial && (h.quarantinedFor != g || !s.freeForTrial(h, g)) || !g.trial && h.quarantinedFor != nil {
		return false
	}
	return s.suitable(g, h)
}

// suitable reports whether a host could take tasks of a group if it had no runs.
func (s *Scheduler) suitable(g *group, h *host) bool {
	return h.usable(s.now) && s.couldHold(g, h)
}

// couldHold reports whether a host is of the kind that tasks of a group need, and large
// enough for one.
func (s *Scheduler) couldHold(g *group, h *host) bool {
	return h.spec.Service == g.job.queue.Service &&
		(g.step.Label == "" || h.spec.HasLabel(g.step.Label)) && g.size.Fits(h.spec.Capacity)
}

// tasksThatFit returns how many more tasks of a group fit on a host now.
func (s *Scheduler) tasksThatFit(g *group, h *host) int {
	s.work.used++
	free := h.free()
	if !g.ignoresReservations && h.reserved != (resource.Vector{}) {
		free = h.freeFor(s.now + s.expected(g, h).P90)
	}
	n := tasksIn(g.size, free)
	if g.step.MaxPerHost > 0 {
		n = min(n, g.step.MaxPerHost-g.runsOn(h))
	}
	if need := g.bestEffortCPU(); need > 0 {
		// More tasks than the unused CPU time supports would only slow each other
		// down.
		n = min(n, max(int(h.unusedCPU()/need), 1))
	}
	return max(n, 0)
}

// score rates a host for a task; lower is better.
func (s *Scheduler) score(g *group, h *host, t *task) float64 {
	left := h.free().Sub(g.size)
	v := float64(left.MilliCPU)/float64(max(h.spec.Capacity.MilliCPU, 1)) +
		0.2*float64(left.MemoryMiB)/float64(max(h.spec.Capacity.MemoryMiB, 1))
	if g.step.BestEffort {
		// A best-effort task gets only the CPU time that other tasks leave idle.
		v = -float64(h.unusedCPU()) / float64(max(h.spec.Capacity.MilliCPU, 1))
	}
	return v + weightSlowness*s.slownessPenalty(h) + g.conditionPenalty(h, t)
}

// conditionPenalty returns the part of the score of a host that depends neither on its capacity
// nor on its speed.
func (g *group) conditionPenalty(h *host, t *task) float64 {
	v := g.interferencePenalty(h)
	if t != nil && t.failedOn == h.spec.ID {
		v += weightFailedBefore
	}
	if g.step.DataRack != "" && g.step.DataRack != h.rack {
		v += weightRemoteData
	}
	return v
}

// placeTasks starts the waiting tasks of a group one by one, at most some of them.
func (s *Scheduler) placeTasks(g *group, most int) {
	most = min(most, g.job.team.tasksUnderLimit(g.step.Size, g.urgent()))
	var tasks []*task
	if g.trial {
		tasks = g.waitingTasks()
		slices.SortStableFunc(tasks, func(a, b *task) int { return cmp.Compare(len(b.evidence.Confirmed), len(a.evidence.Confirmed)) })
		tasks = tasks[:min(most, len(tasks))]
	} else {
		tasks = g.firstWaitingTasks(most)
	}
	if len(tasks) == 0 {
		s.setWaitReason(g, waitLimit)
		return
	}
	s.setWaitReason(g, waitNone)
	var withTicket []*host
	for _, h := range s.candidates(g) {
		if !s.eligible(g, h) || s.tasksThatFit(g, h) < 1 {
			continue
		}
		if _, ok := g.ticketFor(h, s.now); ok {
			withTicket = append(withTicket, h)
		}
	}
	if unplaced := s.placeEach(g, tasks, withTicket); unplaced > 0 && s.mayRequestAdvice(g) {
		s.requestTicketsForUnplaced(g, unplaced)
	}
}

// placeEach starts tasks of a group on hosts, as far as the work of one decision and the
// orders that wait to be sent allow; the others are placed in the next decisions. It returns
// how many fit on none of the hosts.
func (s *Scheduler) placeEach(g *group, tasks []*task, hosts []*host) (unplaced int) {
	for i, t := range tasks {
		if i > 0 && s.work.exhausted() || !s.hasStartRoom() {
			return 0
		}
		h := s.bestHost(g, hosts, t)
		if h == nil {
			return len(tasks) - i // the others are of the same size
		}
		s.start(t, h, t.lastRun+1)
		if s.tasksThatFit(g, h) < 1 {
			hosts = slices.DeleteFunc(hosts, func(o *host) bool { return o == h })
		}
	}
	return 0
}

func (s *Scheduler) bestHost(g *group, hosts []*host, t *task) (best *host) {
	if members := s.displacedBy(g); members != nil {
		return s.leastDisplacing(g, hosts, t, members)
	}
	var minScore float64
	for _, h := range hosts {
		if s.tasksThatFit(g, h) < 1 {
			continue
		}
		if v := s.score(g, h, t); best == nil || v < minScore {
			best, minScore = h, v
		}
	}
	return best
}

// requestTicketsForUnplaced requests tickets for hosts that have free capacity:
// approved hosts first, since a call about few hosts is short, then hosts that
// are neither approved nor denied.
func (s *Scheduler) requestTicketsForUnplaced(g *group, needed int) {
	var expired []*host
	for _, h := range s.candidates(g) {
		if _, valid := g.ticketFor(h, s.now); g.approved(h) && !valid && s.hasRoomFor(g, h) {
			expired = append(expired, h)
		}
	}
	if len(expired) > 0 {
		s.requestAdvice(g, s.fewestHostsFor(g, expired, needed))
		return
	}
	undecided := func(h *host) bool { return g.undecided(h) && s.hasRoomFor(g, h) }
	if slices.ContainsFunc(s.hostsWithRoom, undecided) {
		s.requestAdviceOnUndecidedHosts(g)
	}
}

// hasRoomFor reports whether a host could take a task of a group now.
func (s *Scheduler) hasRoomFor(g *group, h *host) bool {
	return s.eligible(g, h) && s.tasksThatFit(g, h) >= 1
}

// fewestHostsFor returns the hosts with the most free capacity that together
// hold the needed tasks, plus extraTicketHosts.
func (s *Scheduler) fewestHostsFor(g *group, hosts []*host, needed int) []*host {
	rankHosts(hosts, func(h *host) int { return -s.tasksThatFit(g, h) })
	for i, h := range hosts {
		needed -= s.tasksThatFit(g, h)
		if needed <= 0 {
			return hosts[:min(i+1+extraTicketHosts, len(hosts))]
		}
	}
	return hosts
}

// start orders a host to start a run of a task.
func (s *Scheduler) start(t *task, h *host, run int64) {
	g := t.group
	s.logBackfill(t, h)
	r := s.risk(g.job)
	r.Add(1, 0, s.now)
	if !g.job.proven && !g.job.hasRuns() {
		r.Unproven++
	}
	value, _ := g.ticketFor(h, s.now)
	waited := s.now - t.waitingSince
	a := s.attach(t, h, run)
	if g.trial {
		a.alone, h.trial = true, a
		if len(h.runs) > g.runsOn(h) {
			s.logMessage(t.id.Submission, h.spec.ID, "A task is tried beside other runs, since no empty host was found for long.")
		}
		t.countedAt().recordTrial(run, h)
		s.changed[t.id.Submission] = true
	}
	g.trialWait, g.givenBack = trial.Wait{}, nil
	g.ignoresReservations = g.step.LongRunning
	s.startRoom--
	s.countSharedStart(g)
	s.plan.Starts = append(s.plan.Starts, Start{
		Task: t.id, Run: run, Host: h.spec.ID, Spec: g.job.sub.Spec, Checkpoint: t.resumesFrom(), Ticket: value, Gang: g.step.Gang, Waited: waited,
	})
}
