package schedule

import (
	"slices"
	"time"
)

const (
	// pinAnswerMargin is how long after the duration of its advice call the room of a gang stays
	// pinned: for the way of the call to a node and back, and the next decision.
	pinAnswerMargin = 300 * time.Millisecond
	// pinnedHostsDivisor divides the hosts of the cell; no more of them are pinned at one time.
	pinnedHostsDivisor = 8
)

// pinnedRoom is room on hosts for a gang that waits for nothing but new tickets. Nothing that
// would end later than the call for them takes it, not even work that comes first in the queue:
// otherwise the gang would have no room once it has the tickets, and need other ones later.
type pinnedRoom struct {
	// hosts has a host for each member.
	hosts []*host
	until time.Duration
}

// pin keeps the room of a gang until its advice call is expected to have been answered.
func (s *Scheduler) pin(g *group, hosts []*host, answeredAt time.Duration) {
	if s.pinnedHosts()+distinct(hosts) > len(s.sortedHosts)/pinnedHostsDivisor {
		return
	}
	g.pinned = &pinnedRoom{hosts: slices.Clone(hosts), until: answeredAt + pinAnswerMargin}
	s.pinnedGangs = append(s.pinnedGangs, g)
}

// pinnedHosts returns on how many hosts room is pinned; one counts for each gang there.
func (s *Scheduler) pinnedHosts() (n int) {
	for _, g := range s.pinnedGangs {
		n += distinct(g.pinned.hosts)
	}
	return n
}

// distinct returns the number of different hosts in a list in which equal ones are adjacent.
func distinct(hosts []*host) (n int) {
	for i, h := range hosts {
		if i == 0 || h != hosts[i-1] {
			n++
		}
	}
	return n
}

// expirePinned unpins the room that has expired or is not needed any more.
func (s *Scheduler) expirePinned() {
	s.pinnedGangs = slices.DeleteFunc(s.pinnedGangs, func(g *group) bool {
		if s.now < g.pinned.until && s.isWaiting(g) && g.run == 0 && !g.job.state.Final() {
			return false
		}
		g.pinned = nil
		return true
	})
}

// reservePinned reserves the pinned room before anything is placed.
func (s *Scheduler) reservePinned() {
	for _, g := range s.pinnedGangs {
		for _, h := range g.pinned.hosts {
			h.reserve(g, 1, g.pinned.until)
		}
	}
}

// unpin gives the room of a gang free for others, from the next decision on.
func (s *Scheduler) unpin(g *group) {
	g.pinned = nil
	s.pinnedGangs = slices.DeleteFunc(s.pinnedGangs, func(o *group) bool { return o == g })
}

// placePinned starts a gang in its pinned room once it has the tickets. It reports false if there
// is no such room any more, and the gang is to be placed as any other.
func (s *Scheduler) placePinned(g *group, tasks []*task) bool {
	if g.pinned == nil {
		return false
	}
	hosts := g.pinned.hosts
	if len(hosts) != len(tasks) || !s.holdsMembers(g, hosts) {
		s.unpin(g)
		return false
	}
	switch {
	case s.haveTickets(g, hosts) && s.gangsHeld:
		g.job.team.holdLimit(g.step.Size, len(tasks))
	case s.haveTickets(g, hosts) && s.hasStartRoom():
		s.setWaitReason(g, waitNone)
		s.startGang(g, tasks, hosts)
		s.unpin(g)
	case g.advice.renewing || s.haveTickets(g, hosts):
		if other := s.chooseHosts(g, len(tasks), true); other != nil && !s.gangsHeld && s.hasStartRoom() {
			s.setWaitReason(g, waitNone)
			s.startGang(g, tasks, other) // there is room elsewhere, for which it has tickets
			s.unpin(g)
			return true
		}
		s.setWaitReason(g, waitTickets)
		g.job.team.holdLimit(g.step.Size, len(tasks))
	default: // the call has failed
		s.unpin(g)
		return false
	}
	return true
}

// holdsMembers reports whether each of the hosts still has room for the members that are to start
// there. Equal hosts are adjacent.
func (s *Scheduler) holdsMembers(g *group, hosts []*host) bool {
	for i := 0; i < len(hosts); {
		h, members := hosts[i], 0
		for ; i < len(hosts) && hosts[i] == h; i++ {
			members++
		}
		if !s.eligible(g, h) || !g.approved(h) || g.membersIn(h.free()) < members {
			return false
		}
	}
	return true
}

// haveTickets reports whether the group has a valid ticket for each of the hosts.
func (s *Scheduler) haveTickets(g *group, hosts []*host) bool {
	for i, h := range hosts {
		if i > 0 && h == hosts[i-1] {
			continue
		}
		if _, ok := g.ticketFor(h, s.now); !ok {
			return false
		}
	}
	return true
}
