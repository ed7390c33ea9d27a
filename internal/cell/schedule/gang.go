package schedule

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// refusedMemberTimeoutDivisor divides the gang timeout. If a refused member cannot be
// placed again within that part of it, the whole gang is stopped.
const refusedMemberTimeoutDivisor = 2

// expectedGangHold is how long a gang that is held is expected to wait: other work may use its
// room that ends before.
const expectedGangHold = 500 * time.Millisecond

// placeGang starts all members of a gang at once, or reserves capacity for
// them.
func (s *Scheduler) placeGang(g *group, reservingGangs *int) {
	tasks := g.waitingTasks()
	if g.run != 0 {
		s.retryRefusedMembers(g, tasks)
		return
	}
	if len(tasks) < g.left {
		s.setWaitReason(g, waitPreviousRuns)
		return
	}
	if g.job.team.tasksUnderLimit(g.step.Size, g.urgent()) < len(tasks) {
		s.setWaitReason(g, waitLimit)
		s.holdLimit(g, len(tasks))
		return
	}
	if s.placePinned(g, tasks) {
		return
	}
	if hosts := s.chooseHosts(g, len(tasks), true); hosts != nil {
		s.setWaitReason(g, waitNone)
		switch {
		case s.gangsHeld:
			s.keepRoom(g, hosts)
		case s.hasStartRoom():
			s.startGang(g, tasks, hosts)
		}
		return
	}
	if g.policy() != nil && len(g.advice.tickets) == 0 {
		s.setWaitReason(g, waitAdvice)
		s.requestAdviceOnUndecidedHosts(g)
		return
	}
	if s.approvedCapacity(g) < len(tasks) {
		s.setWaitReason(g, waitCapacity)
		if g.policy() != nil {
			s.requestAdviceOnUndecidedHosts(g)
		}
		return
	}
	if hosts := s.chooseHosts(g, len(tasks), false); hosts != nil {
		s.setWaitReason(g, waitTickets)
		s.renewTickets(g, hosts)
		g.job.team.holdLimit(g.step.Size, len(tasks))
		return
	}
	if *reservingGangs >= max(minReservingGangs, s.hostsInService()/hostsPerReservingGang) {
		s.waitBehindGangs(g)
		return
	}
	plan := s.planRoom(g, len(tasks))
	if plan == nil {
		s.waitBehindGangs(g) // they have reserved the room that it needs
		return
	}
	*reservingGangs++
	s.setWaitReason(g, waitRoom)
	s.reserve(plan, g, len(tasks))
	g.job.team.holdLimit(g.step.Size, len(tasks))
	if g.policy() != nil {
		s.requestAdviceOnUndecidedHosts(g) // hosts that are neither approved nor denied may have free capacity now
	}
}

// keepRoom keeps the room for a gang that could start and is held; see HoldGangs.
func (s *Scheduler) keepRoom(g *group, hosts []*host) {
	for _, h := range hosts {
		h.reserve(g, 1, s.now+expectedGangHold)
	}
	g.job.team.holdLimit(g.step.Size, len(hosts))
}

// waitBehindGangs lets a gang wait for others that have reserved room. If reservations do
// not bind it, it looks for room on hosts that are neither approved nor denied.
func (s *Scheduler) waitBehindGangs(g *group) {
	s.setWaitReason(g, waitOtherGangs)
	if g.ignoresReservations && g.policy() != nil {
		s.requestAdviceOnUndecidedHosts(g)
	}
}

// holdLimit keeps the limit of its team for a gang that waits for it, and asks for advice
// meanwhile. Nothing is kept for a gang that its hosts cannot hold.
func (s *Scheduler) holdLimit(g *group, n int) {
	asked := g.policy() == nil || len(g.advice.tickets)+len(g.advice.denied) > 0
	if asked && s.approvedCapacity(g) < n || g.job.team.held != (resource.Vector{}) {
		return
	}
	g.job.team.holdLimit(g.step.Size, n)
	if !asked && g.job.team.held != (resource.Vector{}) {
		s.requestAdviceOnUndecidedHosts(g)
	}
}

// chooseHosts returns a host for each of n tasks, or nil if they do not fit or are to
// wait for one rack. With requireTicket, it considers only hosts with a valid ticket,
// otherwise all approved hosts.
func (s *Scheduler) chooseHosts(g *group, n int, requireTicket bool) []*host {
	var all []*host
	for _, h := range s.candidates(g) {
		if !s.eligible(g, h) || s.tasksThatFit(g, h) < 1 {
			continue
		}
		if _, ok := g.ticketFor(h, s.now); ok || !requireTicket && g.approved(h) {
			all = append(all, h)
		}
	}
	if !g.step.RackLocal {
		return s.assignHosts(g, all, n)
	}
	if picked := s.assignInRack(g, all, n); picked != nil {
		return picked
	}
	spread := s.assignHosts(g, all, n)
	if spread != nil && s.worthWaitingForRack(g, n) {
		return nil
	}
	return spread
}

// assignHosts assigns n tasks to hosts, or returns nil if they do not fit. The
// hosts are used in the order of their gangScore, then of unused CPU if the
// tasks are best-effort, then of free capacity, so that the gang depends on few
// hosts.
func (s *Scheduler) assignHosts(g *group, hosts []*host, n int) []*host {
	options := make([]gangOption, len(hosts))
	total := 0
	for i, h := range hosts {
		options[i] = gangOption{host: h, score: s.gangScore(g, h), tasksThatFit: s.tasksThatFit(g, h)}
		if g.step.BestEffort {
			options[i].unusedCPU = int(h.unusedCPU())
		}
		total += options[i].tasksThatFit
	}
	if total < n {
		return nil
	}
	sortOptions(options)
	if s.preferEqualSpeed(options, n) {
		sortOptions(options)
	}
	var out []*host
	for _, o := range options {
		for range min(o.tasksThatFit, n-len(out)) {
			out = append(out, o.host)
		}
	}
	return out
}

// slownessBucket is the rounding step of slowness, so that hosts of about the
// same speed score equally.
const slownessBucket = 0.25

// gangScore rates a host for a gang; lower is better.
func (s *Scheduler) gangScore(g *group, h *host) int {
	score := s.slownessScore(h)
	if g.tasks[0].failedOn == h.spec.ID {
		score += 100
	}
	if g.step.DataRack != "" && g.step.DataRack != h.rack {
		score += 10
	}
	if g.interferencePenalty(h) > 0 {
		score += 10
	}
	return score
}

func (s *Scheduler) startGang(g *group, tasks []*task, hosts []*host) {
	run := s.options.RunNumberBase
	for _, t := range g.tasks {
		run = max(run, t.lastRun)
	}
	run++
	for i, t := range tasks {
		s.start(t, hosts[i], run)
	}
	g.run, g.startedAt, g.couldSpreadAt, g.promise = run, s.now, 0, nil
}

// retryRefusedMembers starts refused members again, on hosts that are chosen
// anew, under the run number of the other members.
func (s *Scheduler) retryRefusedMembers(g *group, tasks []*task) {
	if g.memberEnded || g.stopping() {
		return // the other members are ending
	}
	hosts := s.chooseHosts(g, len(tasks), true)
	if hosts != nil && !s.startsHeld && g.job.team.tasksUnderLimit(g.step.Size, g.urgent()) >= len(tasks) {
		for i, t := range tasks {
			s.start(t, hosts[i], g.run)
		}
		return
	}
	if s.now > g.startedAt+s.options.GangTimeout/refusedMemberTimeoutDivisor {
		s.stopGroup(g, "no room for a refused member of the gang")
	}
}

// stopping reports whether a stop of a member has been ordered.
func (g *group) stopping() bool {
	for _, t := range g.tasks {
		for _, a := range t.runs {
			if a.phase == phaseStopping {
				return true
			}
		}
	}
	return false
}

// renewTickets requests new tickets for the chosen hosts and reserves capacity
// on them until the answer is expected.
func (s *Scheduler) renewTickets(g *group, hosts []*host) {
	var named []*host
	known := make(map[*host]bool)
	for _, h := range hosts {
		if !known[h] {
			known[h] = true
			named = append(named, h)
		}
	}
	if len(named) > maxAdviceHosts {
		rankHosts(named, func(h *host) int { return int(g.advice.tickets[h].expires) }) // the others are renewed next
		named = named[:maxAdviceHosts]
	}
	until := s.now + g.policy().CallDuration(len(named))
	for _, h := range hosts {
		h.reserve(g, 1, until)
	}
	if !s.options.Features.GangCapacity {
		s.requestAdvice(g, named)
		return
	}
	if g.advice.renewing || s.now < g.advice.retryAt {
		return
	}
	if g.advice.renewing = s.planCall(g, named); g.advice.renewing && len(named) == len(known) {
		s.pin(g, hosts, until)
	}
}

// approvedCapacity returns how many tasks fit on the approved hosts once all runs
// there have ended but those of long-running tasks.
func (s *Scheduler) approvedCapacity(g *group) (n int) {
	for _, h := range s.approvedHosts(g) {
		if s.eligible(g, h) {
			n += g.membersIn(h.spec.Capacity.Sub(h.longRunning))
		}
	}
	return n
}

// membersIn returns how many tasks of a group fit into the free resources of a host
// without tasks of the group.
func (g *group) membersIn(free resource.Vector) int {
	n := tasksIn(g.size, free)
	if g.step.MaxPerHost > 0 {
		n = min(n, g.step.MaxPerHost)
	}
	return n
}
