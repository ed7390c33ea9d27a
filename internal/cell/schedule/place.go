package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
)

const (
	// Weights of the score of a host; a lower score is better. Room that is left
	// over counts most, so that small tasks fill hosts and wide ones find room.
	weightSlow   = 0.5
	weightFailed = 5.0
	weightRemote = 2.0
	// surveyEvery is the time between two looks at all groups, for what no event
	// tells.
	surveyEvery = 100 * time.Millisecond
	// minGathered and hostsPerGathered bound the gangs that room is gathered for at
	// one time: more of them would keep most of the cell idle, and fewer would
	// make gangs wait for each other's advice.
	minGathered      = 3
	hostsPerGathered = 16
	// refreshSpare is how many hosts beyond the needed ones a call that renews
	// tickets names, in case room is taken meanwhile.
	refreshSpare = 2
)

// Decide returns what to do next.
func (s *Scheduler) Decide(now, wall time.Duration) *Plan {
	s.now, s.wall = now, wall
	s.sweep()
	s.openDue()
	queue := s.queue()
	s.findRoom(queue)
	gangs := 0
	for _, e := range queue {
		if e.group.step.Gang {
			s.placeGang(e.group, &gangs)
		} else {
			s.placeEach(e.group)
		}
	}
	if now >= s.surveyAt {
		s.surveyAt = now + surveyEvery
		s.prefetch()
		s.rescue()
		s.relieve()
	}
	p := s.plan
	s.plan = &Plan{}
	return p
}

// openDue opens groups of occurrences that have become due.
func (s *Scheduler) openDue() {
	for _, j := range s.timed {
		if !j.state.Final() {
			s.openGroups(j)
		}
	}
}

// findRoom begins a pass over the queue: nothing is reserved yet, and hosts
// without room for the smallest waiting task are left out of it. In a full cell
// these are nearly all.
func (s *Scheduler) findRoom(queue []entry) {
	s.roomy = s.roomy[:0]
	if len(queue) == 0 {
		return
	}
	least := queue[0].group.size
	for _, e := range queue {
		least = least.Min(e.group.size)
	}
	for _, h := range s.order {
		h.reserved, h.reservedUntil, h.ends = resource.Vector{}, 0, nil
		if h.usable(s.now) && least.Fits(h.free()) {
			s.roomy = append(s.roomy, h)
		}
	}
}

// eligible reports whether a host could take tasks of a group if it had room.
func (s *Scheduler) eligible(g *group, h *host) bool {
	if g.step.Fills && s.now < h.quietUntil {
		return false
	}
	return h.usable(s.now) && h.spec.Service == g.job.queue.Service &&
		(g.step.Label == "" || h.spec.HasLabel(g.step.Label)) && g.size.Fits(h.spec.Capacity)
}

// room returns how many more tasks of a group fit on a host now.
func (s *Scheduler) room(g *group, h *host) int {
	n := slots(g.size, h.freeFor(s.now+g.estimate(h)))
	if g.step.MaxPerHost > 0 {
		n = min(n, g.step.MaxPerHost-g.on(h))
	}
	if need := g.filling(); need > 0 {
		// More tasks than the spare processor time carries would only slow each other.
		n = min(n, max(int(h.spare()/need), 1))
	}
	return max(n, 0)
}

// score returns how well a host suits a task; lower is better.
func (s *Scheduler) score(g *group, h *host, t *task) float64 {
	left := h.free().Sub(g.size)
	v := float64(left.MilliCPU)/float64(max(h.spec.Capacity.MilliCPU, 1)) +
		0.2*float64(left.MemoryMiB)/float64(max(h.spec.Capacity.MemoryMiB, 1))
	if g.step.Fills {
		// What others leave is all that such a task gets.
		v = -float64(h.spare()) / float64(max(h.spec.Capacity.MilliCPU, 1))
	}
	v += g.sharing(h)
	v += weightSlow * max(h.health.slowness-1, 0)
	if t != nil && t.failedOn == h.spec.ID {
		v += weightFailed
	}
	if g.step.DataRack != "" && g.step.DataRack != h.rack {
		v += weightRemote
	}
	return v
}

// placeEach starts tasks one by one.
func (s *Scheduler) placeEach(g *group) {
	tasks := g.waitingTasks()
	if n := g.job.team.room(g.step.Size, g.urgent()); n < len(tasks) {
		tasks = tasks[:n]
	}
	if len(tasks) == 0 {
		s.waits(g, waitLimit)
		return
	}
	s.waits(g, waitNone)
	var fresh []*host
	for _, h := range s.candidates(g) {
		if !s.eligible(g, h) || s.room(g, h) < 1 {
			continue
		}
		if _, ok := g.ticketFor(h, s.now); ok {
			fresh = append(fresh, h)
		}
	}
	unplaced := 0
	for _, t := range tasks {
		h := s.best(g, fresh, t)
		if h == nil {
			unplaced++
			continue
		}
		s.start(t, h, t.lastRun+1)
	}
	if unplaced > 0 && s.mayAsk(g) {
		s.askForRoom(g, unplaced)
	}
}

func (s *Scheduler) best(g *group, hosts []*host, t *task) (best *host) {
	var least float64
	for _, h := range hosts {
		if s.room(g, h) < 1 {
			continue
		}
		if v := s.score(g, h, t); best == nil || v < least {
			best, least = h, v
		}
	}
	return best
}

// askForRoom asks for tickets of hosts that have room: those that are approved
// first, since naming few makes the call short, then those not judged yet.
func (s *Scheduler) askForRoom(g *group, needed int) {
	var expired []*host
	open := false
	for _, h := range s.roomy {
		if !s.eligible(g, h) || s.room(g, h) < 1 {
			continue
		}
		if _, fresh := g.ticketFor(h, s.now); g.approved(h) && !fresh {
			expired = append(expired, h)
		}
		if !g.approved(h) && !g.advice.denied[h] {
			open = true
		}
	}
	switch {
	case len(expired) > 0:
		s.ask(g, s.firstByRoom(g, expired, needed))
	case open:
		s.askUndecided(g)
	}
}

// firstByRoom returns the hosts with the most room that together hold a number
// of tasks, and a few more.
func (s *Scheduler) firstByRoom(g *group, hosts []*host, needed int) []*host {
	rankHosts(hosts, func(h *host) int { return -s.room(g, h) })
	for i, h := range hosts {
		needed -= s.room(g, h)
		if needed <= 0 {
			return hosts[:min(i+1+refreshSpare, len(hosts))]
		}
	}
	return hosts
}

// rankHosts sorts hosts by a key, lowest first, that is worked out once for each.
func rankHosts(hosts []*host, key func(h *host) int) {
	type ranked struct {
		h   *host
		key int
	}
	list := make([]ranked, len(hosts))
	for i, h := range hosts {
		list[i] = ranked{h, key(h)}
	}
	slices.SortStableFunc(list, func(a, b ranked) int { return cmp.Compare(a.key, b.key) })
	for i := range list {
		hosts[i] = list[i].h
	}
}

// start orders a run.
func (s *Scheduler) start(t *task, h *host, run int64) {
	g := t.group
	value, _ := g.ticketFor(h, s.now)
	waited := s.now - t.waitingSince
	s.attach(t, h, run)
	s.plan.Starts = append(s.plan.Starts, Start{
		Task: t.id, Run: run, Host: h.spec.ID, Spec: g.job.sub.Spec, Checkpoint: t.checkpoint, Ticket: value, Waited: waited,
	})
	if g.job.state == 0 {
		g.job.state = 1
		s.changed[g.job.sub.ID] = true
	}
}

// prefetch asks for advice about steps whose turn comes soon.
func (s *Scheduler) prefetch() {
	for _, g := range s.groups {
		p := g.policy()
		if p == nil || g.open || g.left == 0 || g.job.state.Final() || g.advice.inFlight || len(g.advice.tickets) > 0 || g.job.sub.Timed() {
			continue
		}
		if s.turnWithin(g, p.Cost(nameable(p))) {
			s.askUndecided(g)
		}
	}
}

// turnWithin reports whether the steps before a group are expected to end
// within a time.
func (s *Scheduler) turnWithin(g *group, d time.Duration) bool {
	for _, a := range g.step.After {
		for _, t := range g.job.groups[g.id.Occurrence*g.job.steps+a].tasks {
			if t.done {
				continue
			}
			if len(t.attempts) == 0 {
				return false
			}
			first := t.attempts[0]
			if first.acceptedAt == 0 || first.acceptedAt+g.job.groups[a].estimate(first.host) > s.now+d {
				return false
			}
		}
	}
	return true
}
