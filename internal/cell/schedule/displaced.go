package schedule

import (
	"slices"

	"github.com/medlarpulley/medlarpulley/internal/cell/gangroom"
)

const (
	// weightDisplaced is the weight in the score of a host of each gang member that loses its
	// room there. It outweighs the remaining capacity.
	weightDisplaced = 2.0
	// maxRankedTasks, maxRankedMembers and maxRankedSlowness bound what counts of a host in the
	// order of the hosts to ask about, so that one key does not exceed the next one.
	maxRankedTasks    = 999
	maxRankedMembers  = 99
	maxRankedSlowness = 99
)

// updateGangMembers updates the mean size of the members of the gangs of each service that run or
// wait. Long-running gangs, which do not return, and those that no host could hold do not count.
func (s *Scheduler) updateGangMembers() {
	if !s.options.Features.GangCapacity {
		return
	}
	for _, g := range s.liveGroups() {
		if g.step.Gang && !g.step.LongRunning && g.ready && g.left > 1 && !g.job.state.Final() && s.anyHostCouldHold(g) {
			service := g.job.queue.Service
			if s.gangMembers[service] == nil {
				s.gangMembers[service] = &gangroom.Members{}
			}
			s.gangMembers[service].Count(g.size, g.left)
		}
	}
	for service, m := range s.gangMembers {
		if m.Update(s.now); !m.Known() {
			delete(s.gangMembers, service)
		}
	}
}

func (s *Scheduler) anyHostCouldHold(g *group) bool {
	return slices.ContainsFunc(s.sortedHosts, func(h *host) bool { return s.couldHold(g, h) })
}

// displacedBy returns the size of the gang members that the tasks of a group may displace; nil if
// their service has had no gangs of late, or the group is one.
func (s *Scheduler) displacedBy(g *group) *gangroom.Members {
	if g.step.Gang {
		return nil
	}
	return s.gangMembers[g.job.queue.Service]
}

// leastDisplacing returns the host with the lowest score for a task, to which the gang members
// that it displaces there are added. Only hosts count that are no slower than the one with the
// lowest score without them, and have no higher penalty.
func (s *Scheduler) leastDisplacing(g *group, hosts []*host, t *task, members *gangroom.Members) (best *host) {
	scored := s.scoredHosts[:0]
	first := -1
	for _, h := range hosts {
		if s.tasksThatFit(g, h) < 1 {
			continue
		}
		scored = append(scored, scoredHost{h, s.score(g, h, t)})
		if first < 0 || scored[len(scored)-1].score < scored[first].score {
			first = len(scored) - 1
		}
	}
	s.scoredHosts = scored
	if first < 0 {
		return nil
	}
	preferred := scored[first].host
	allowed := g.conditionPenalty(preferred, t)
	var least float64
	for _, o := range scored {
		if !s.noSlower(o.host, preferred) || g.conditionPenalty(o.host, t) > allowed {
			continue
		}
		v := o.score + weightDisplaced*float64(members.Displaced(o.host.free(), g.size))
		if best == nil || v < least {
			best, least = o.host, v
		}
	}
	return best
}

// scoredHost is a host with its score for a task; lower is better.
type scoredHost struct {
	host  *host
	score float64
}

// singleHostsToAsk returns the hosts of a list to name in a call for single tasks. Half of them
// are those with most room, the others those with room where a task displaces fewest gang
// members. By the latter order alone, the calls of all waiting groups name the same nearly full
// hosts; while most of the cell is idle, work may not wait for that, and room alone counts.
func (s *Scheduler) singleHostsToAsk(g *group, hosts []*host) []*host {
	limit := adviceHostLimit(g.policy())
	mostRoom := func(h *host) int { return -tasksIn(g.size, h.free()) }
	members := s.displacedBy(g)
	if members == nil || s.mostlyIdle {
		return lowestHosts(hosts, limit, mostRoom)
	}
	out := slices.Clone(lowestHosts(slices.Clone(hosts), limit/2, s.displacedRank(g, members)))
	named := make(map[*host]bool, len(out))
	for _, h := range out {
		named[h] = true
	}
	hosts = slices.DeleteFunc(hosts, func(h *host) bool { return named[h] })
	return append(out, lowestHosts(hosts, limit-len(out), mostRoom)...)
}

// displacedRank ranks hosts by the gang members that a task displaces there, and then by room;
// lower is better. For urgent work, the speed of the hosts comes first.
func (s *Scheduler) displacedRank(g *group, members *gangroom.Members) func(h *host) int {
	return func(h *host) int {
		n := tasksIn(g.size, h.free())
		if n == 0 {
			return neverHasRoom
		}
		rank := 0
		if g.urgent() {
			rank = min(max(s.slownessScore(h), 0), maxRankedSlowness)
		}
		rank = rank*(maxRankedMembers+1) + min(members.Displaced(h.free(), g.size), maxRankedMembers)
		return rank*(maxRankedTasks+1) - min(n, maxRankedTasks)
	}
}
