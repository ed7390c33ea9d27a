package schedule

const (
	// weightDisplaced is the weight in the score of a host of each gang member that loses its
	// room there. It outweighs the remaining capacity, as the other conditions do.
	weightDisplaced = 2.0
	// displacedRank is the weight of a displaced member in the order of hosts to ask about. It
	// exceeds the number of tasks that count there.
	displacedRank = 1000
	// shorterCallDivisor limits how much shorter a call is made to count as short: by at most
	// one part in shorterCallDivisor of its hosts.
	shorterCallDivisor = 4
	// shortReserveDivisor sets the room for short calls that is left to urgent work: for one
	// in shortReserveDivisor of the nodes.
	shortReserveDivisor = 2
)

// updateGangMembers updates the mean size of the members of the gangs that run or wait.
func (s *Scheduler) updateGangMembers() {
	if !s.options.Features.GangCapacity {
		return
	}
	for _, g := range s.liveGroups() {
		if g.step.Gang && g.ready && g.left > 1 && !g.job.state.Final() {
			s.gangMembers.Count(g.size, g.left)
		}
	}
	s.gangMembers.Update(s.now)
}

// displacedPenalty is the part of the score of a host for the gang members that lose their
// room if a task of a group starts there.
func (s *Scheduler) displacedPenalty(g *group, h *host) float64 {
	if !s.options.Features.GangCapacity || g.step.Gang {
		return 0
	}
	return weightDisplaced * float64(s.gangMembers.Displaced(h.free(), g.size))
}

// singleHostsToAsk returns the hosts of a list to name in a call for single tasks: those with
// room where fewest gang members lose theirs, and of them those with most room.
func (s *Scheduler) singleHostsToAsk(g *group, hosts []*host) []*host {
	return lowestHosts(hosts, s.singleHostLimit(g), func(h *host) int {
		n := tasksIn(g.size, h.free())
		if n == 0 {
			return neverHasRoom
		}
		return displacedRank*s.gangMembers.Displaced(h.free(), g.size) - min(n, displacedRank-1)
	})
}

// singleHostLimit returns how many hosts a call for single tasks may name. It is made a little
// shorter if it is short then and need not wait behind the calls for gangs.
func (s *Scheduler) singleHostLimit(g *group) int {
	p, r := g.policy(), s.adviceRoom
	limit := adviceHostLimit(p)
	if r == nil || !g.urgent() && r.Short <= r.Nodes/shortReserveDivisor {
		return limit
	}
	for n := limit; n >= max(limit-limit/shorterCallDivisor, minAdviceHosts); n-- {
		if p.CallDuration(n) < r.LongFrom {
			return n
		}
	}
	return limit
}

// hostsToAsk returns the hosts of a list to name in the next call for a group that is no gang,
// or for any group while no capacity is kept for gangs.
func (s *Scheduler) hostsToAsk(g *group, hosts []*host) []*host {
	if s.options.Features.GangCapacity {
		return s.singleHostsToAsk(g, hosts)
	}
	return lowestHosts(hosts, adviceHostLimit(g.policy()), func(h *host) int { return -tasksIn(g.size, h.free()) })
}
