package schedule

import (
	"cmp"
	"slices"
	"time"
)

const (
	// hostsPerTrial limits the hosts that suspected tasks hold at one time to one in
	// hostsPerTrial, at least one.
	hostsPerTrial = 8
	// soundWorkMemory is how long after other work has last waited some of the idle hosts
	// are kept for it.
	soundWorkMemory = 2 * time.Second
	// soonEmpty is the time within which a host has to be empty to be kept free for
	// suspected tasks; other hosts are chosen only if there was none for
	// maxEmptyHostWait. Hosts are empty when they come back after a crash.
	soonEmpty        = 300 * time.Millisecond
	maxEmptyHostWait = 500 * time.Millisecond
	// maxQuarantineIdle is how long a host is kept free for a suspected task that does not
	// use it, and trialRetryDelay the wait before hosts are kept free for it again.
	maxQuarantineIdle = 1500 * time.Millisecond
	trialRetryDelay   = 3 * time.Second
)

// endTrials ends the trials of runs that are gone or cleared.
func (s *Scheduler) endTrials() {
	s.idleHosts = 0
	for _, h := range s.sortedHosts {
		s.updateTrial(h)
		if h.usable(s.now) && (len(h.runs) == 0 || h.quarantinedFor != nil) {
			s.idleHosts++
		}
	}
}

// chooseTrialHosts chooses the hosts that are kept free of other work for the suspected
// tasks in the queue.
func (s *Scheduler) chooseTrialHosts(queue []queueEntry) {
	var waiting []*group
	for _, e := range queue {
		switch {
		case e.underTrial:
			if s.readyForTrial(e.group) {
				waiting = append(waiting, e.group)
			}
		case !e.awaitsFirstTask:
			s.soundWorkAt = s.now
		}
	}
	held := 0
	room := make(map[*group]int)
	for _, h := range s.sortedHosts {
		if g := h.quarantinedFor; g != nil {
			held++
			room[g] += g.emptyRoom(h)
		}
	}
	most := s.maxTrialHosts()
	for _, g := range waiting {
		if g.policy() != nil && len(g.advice.tickets)+len(g.advice.denied) == 0 {
			s.requestAdviceOnUndecidedHosts(g)
			continue
		}
		if missing := g.trialWidth() - room[g]; missing > 0 && s.now >= g.trialRetryAt {
			held += s.quarantine(g, missing, most-held)
		}
	}
}

// updateTrial ends the trial on a host if its run is gone or its task is cleared, and
// gives the host back to other work if the group for which it is kept free does not use
// it.
func (s *Scheduler) updateTrial(h *host) {
	g := h.quarantinedFor
	switch {
	case g == nil:
	case h.trial != nil && g.runsOn(h) == 0:
		h.trial, h.quarantinedFor = nil, nil
	case h.trial != nil && h.trial.survivedTrial(s.now):
		s.clear(h.trial.task, h.spec.ID)
		h.trial, h.quarantinedFor = nil, nil
	case h.trial != nil:
	case !h.usable(s.now) || g.waiting == 0 || !g.ready || !s.underTrial(g.job):
		h.quarantinedFor = nil
	case !h.freeForTrial(g, s.now), g.advice.inFlight:
		h.freeSince = s.now
	case s.now > h.freeSince+maxQuarantineIdle:
		h.quarantinedFor = nil
		g.trialRetryAt = s.now + trialRetryDelay
	}
}

// quarantine keeps the hosts that will be empty soonest, of those that are approved for
// a group, free of other work. It returns how many it keeps free: as many as hold the
// given number of tasks, or none if that would be more than most. Then it asks for advice
// about the hosts that are not decided.
func (s *Scheduler) quarantine(g *group, tasks, most int) int {
	if most <= 0 {
		return 0
	}
	type option struct {
		host *host
		end  time.Duration
	}
	var options []option
	for _, h := range s.sortedHosts {
		if h.quarantinedFor != nil || !g.approved(h) || !s.suitable(g, h) {
			continue
		}
		o := option{h, s.now}
		if _, ok := g.ticketFor(h, s.now); !ok {
			o.end += g.adviceDuration()
		}
		if ends := s.expectedEnds(h); len(ends) > 0 && !h.freeForTrial(g, s.now) {
			o.end = max(o.end, ends[len(ends)-1].at)
		}
		options = append(options, o)
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(a.end, b.end) })
	soon := s.now + soonEmpty + g.adviceDuration()
	n := 0
	for n < len(options) && tasks > 0 {
		tasks -= g.emptyRoom(options[n].host)
		n++
	}
	if tasks > 0 || n > most || options[n-1].end > soon && s.now < s.quarantinedAt+maxEmptyHostWait {
		if g.policy() != nil {
			s.requestAdviceOnUndecidedHosts(g)
		}
		return 0
	}
	for _, o := range options[:n] {
		o.host.quarantinedFor, o.host.freeSince = g, s.now
	}
	s.quarantinedAt = s.now
	return n
}

// emptyRoom returns how many tasks of the group fit on a host without runs.
func (g *group) emptyRoom(h *host) int {
	n := tasksIn(g.size, h.spec.Capacity)
	if g.step.MaxPerHost > 0 {
		n = min(n, g.step.MaxPerHost)
	}
	return n
}

// trialWidth returns how many tasks of the group start together in a trial.
func (g *group) trialWidth() int {
	if g.step.Gang {
		return g.left
	}
	return 1
}

// maxTrialHosts returns how many hosts suspected tasks may hold at one time: a small
// part of all hosts, or those that no other work needs.
func (s *Scheduler) maxTrialHosts() int {
	return max(1, len(s.sortedHosts)/hostsPerTrial, s.spareHosts())
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
// needs at least; zero if they cannot hold it.
func (s *Scheduler) trialHostsNeeded(g *group) int {
	var rooms []int
	for _, h := range s.approvedHosts(g) {
		if s.suitable(g, h) {
			rooms = append(rooms, g.emptyRoom(h))
		}
	}
	slices.SortFunc(rooms, func(a, b int) int { return cmp.Compare(b, a) })
	left := g.trialWidth()
	for i, room := range rooms {
		if left -= room; left <= 0 {
			return i + 1
		}
	}
	return 0
}

// readyForTrial reports whether a waiting group of a job under trial may start one
// task, or its gang: the job's other runs have to have survived their start.
func (s *Scheduler) readyForTrial(g *group) bool {
	if g.job.suspectedRuns > 0 {
		return false
	}
	if g.step.Gang {
		return g.run != 0 || g.present == 0
	}
	for _, other := range g.job.groups {
		if other.present > 0 && !other.survivedTrial(s.now) {
			return false
		}
	}
	return true
}

// survivedTrial reports whether all runs of the group have been present for long enough.
func (g *group) survivedTrial(now time.Duration) bool {
	for _, t := range g.tasks {
		for _, a := range t.runs {
			if !a.survivedTrial(now) {
				return false
			}
		}
	}
	return true
}

// placeTrial starts one waiting task, or the gang, of a job under trial on hosts that
// are kept free of other work.
func (s *Scheduler) placeTrial(g *group, reservingGangs *int) {
	if !s.readyForTrial(g) {
		s.setWaitReason(g, waitTrial)
		return
	}
	if s.trialHostsNeeded(g) > s.maxTrialHosts() {
		s.placeGang(g, reservingGangs) // too wide to be tried alone
		return
	}
	g.trial = true
	if g.step.Gang {
		s.placeGang(g, reservingGangs)
	} else {
		s.placeTasks(g, 1)
	}
	g.trial = false
}

// tried reports whether nothing runs on the host but tasks that were tried there and
// that do not crash their hosts at their start.
func (h *host) tried(now time.Duration) bool {
	for _, a := range h.runs {
		if !a.alone || !a.survivedTrial(now) {
			return false
		}
	}
	return true
}

// freeForTrial reports whether a suspected task of a group would be the only possible
// cause if the host crashed.
func (h *host) freeForTrial(g *group, now time.Duration) bool {
	return h.trial != nil || len(h.runs) == 0 || h.tried(now) && !g.crashesLate()
}

// survivedTrial reports whether a run has been present on its host for so long that its
// task does not crash hosts.
func (a *taskRun) survivedTrial(now time.Duration) bool {
	needed := trialDuration
	if a.task.group.crashesLate() {
		needed = lateTrialDuration
	}
	if a.host.silent || !a.host.reachable {
		now = a.host.reportedAt // nothing is known of the host since then
	}
	return a.phase == phaseRunning && !a.host.crashed && now >= a.acceptedAt+needed
}

// crashesLate reports whether a task of the group may crash its host long after its
// start.
func (g *group) crashesLate() bool {
	for _, t := range g.tasks {
		for _, c := range t.crashesInTouch() {
			if !c.Recent {
				return true
			}
		}
	}
	return false
}
