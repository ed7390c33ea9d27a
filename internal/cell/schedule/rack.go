package schedule

import (
	"slices"
	"time"
)

const (
	// spreadSlowdown is how many times as long the members of a gang that wants one rack
	// are assumed to take on several racks.
	spreadSlowdown = 2
	// longestRackWait bounds the wait for one rack: work for which there is room has to
	// start within 3 s.
	longestRackWait = 2 * time.Second
)

// maxRackWait returns how long a gang may wait for one rack: as long as it would lose on
// several ones, up to longestRackWait.
func (s *Scheduler) maxRackWait(g *group) time.Duration {
	return min((spreadSlowdown-1)*s.expected(g, nil).Median, longestRackWait)
}

// rackDeadline returns until when a gang waits for one rack. spreadAt is when it can
// start on several racks, if that has not been possible before.
func (s *Scheduler) rackDeadline(g *group, spreadAt time.Duration) time.Duration {
	if g.couldSpreadAt != 0 {
		spreadAt = g.couldSpreadAt
	}
	return spreadAt + s.maxRackWait(g)
}

// worthWaitingForRack reports whether a gang that could start on several racks now gets
// one rack soon enough to end earlier there.
func (s *Scheduler) worthWaitingForRack(g *group, n int) bool {
	if g.couldSpreadAt == 0 {
		g.couldSpreadAt = s.now
	}
	deadline := s.rackDeadline(g, s.now)
	if s.now >= deadline {
		return false
	}
	if p := s.earliestRackPlan(g, n, s.usableHosts(g)); p != nil && p.at <= deadline {
		return true
	}
	if g.policy() == nil || s.now+g.policy().CallDuration(adviceHostLimit(g.policy())) > deadline {
		return false
	}
	p := s.earliestRackPlan(g, n, s.hostsNotDenied(g))
	return p != nil && p.at <= deadline
}

// earliestRackPlan returns the plan for the rack, of those of the given hosts, that
// holds n tasks of a gang first; nil if none will. At the same time, the rack with the
// data of the gang comes first.
func (s *Scheduler) earliestRackPlan(g *group, n int, hosts []*host) (best *roomPlan) {
	for _, rack := range racks(hosts) {
		p := s.earliestRoom(g, n, hostsInRack(hosts, rack))
		if p != nil && (best == nil || p.at < best.at || p.at == best.at && rack == g.step.DataRack) {
			best = p
		}
	}
	return best
}

// assignInRack assigns n tasks of a gang to hosts of one rack, or returns nil if they do
// not fit on any. The rack with the data of the gang comes first.
func (s *Scheduler) assignInRack(g *group, hosts []*host, n int) (best []*host) {
	for _, rack := range racks(hosts) {
		if picked := s.assignHosts(g, hostsInRack(hosts, rack), n); picked != nil && (best == nil || rack == g.step.DataRack) {
			best = picked
		}
	}
	return best
}

// racks returns the racks of hosts, sorted.
func racks(hosts []*host) (out []string) {
	for _, h := range hosts {
		if !slices.Contains(out, h.rack) {
			out = append(out, h.rack)
		}
	}
	slices.Sort(out)
	return out
}

func hostsInRack(hosts []*host, rack string) []*host {
	return slices.DeleteFunc(slices.Clone(hosts), func(h *host) bool { return h.rack != rack })
}

// usableHosts returns the approved hosts that take tasks of a group.
func (s *Scheduler) usableHosts(g *group) (out []*host) {
	for _, h := range s.approvedHosts(g) {
		if s.eligible(g, h) {
			out = append(out, h)
		}
	}
	return out
}

// hostsNotDenied returns the hosts that take tasks of a group unless advice denies them.
func (s *Scheduler) hostsNotDenied(g *group) (out []*host) {
	for _, h := range s.sortedHosts {
		if s.eligible(g, h) && !g.advice.denied[h] {
			out = append(out, h)
		}
	}
	return out
}
