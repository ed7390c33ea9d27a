package schedule

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell/gangroom"
)

const (
	// roomTimeStep is the rounding step of the time until a host has room for gang members.
	roomTimeStep = 50 * time.Millisecond
	// neverHasRoom ranks hosts behind all that have room at some time.
	neverHasRoom = 1 << 30
	// maxApprovals bounds the queues whose share of approved hosts is remembered.
	maxApprovals = 512
)

// gangHostsToAsk returns the hosts of a list to name in a call for a gang: those that hold
// most of its members soonest, and as many as it needs and has time for.
func (s *Scheduler) gangHostsToAsk(g *group, hosts []*host) []*host {
	hosts = lowestHosts(hosts, maxAdviceHosts, func(h *host) int { return s.gangRoomRank(g, h) })
	p := g.policy()
	call := gangroom.Call{
		Members: g.waiting, Fits: make([]int, len(hosts)), ApprovalShare: s.approval(g).Share(),
		PerHost: p.PerHost, Slack: s.slack(g), Least: adviceHostLimit(p), Most: maxAdviceHosts,
	}
	for i, h := range hosts {
		call.Fits[i] = g.membersIn(h.free().Sub(h.reserved))
	}
	return hosts[:call.Hosts()]
}

// slack returns how long a group can wait until it is expected to miss its objective or, if it
// is expected to miss it anyway, until its result is of no use.
func (s *Scheduler) slack(g *group) time.Duration {
	j := g.job
	left := j.due - s.now - s.criticalPath(j, g.id.Step)
	if left < 0 {
		left += (tooLateFactor - 1) * (j.due - j.arrived)
	}
	return left
}

// gangRoomRank ranks a host by when it is expected to hold as many members of a gang as it
// ever does, in roomTimeStep; lower is better.
func (s *Scheduler) gangRoomRank(g *group, h *host) int {
	free := h.free().Sub(h.reserved)
	most := g.membersIn(h.spec.Capacity.Sub(h.longRunning))
	if most == 0 {
		return neverHasRoom
	}
	if g.membersIn(free) >= most {
		return 0
	}
	for _, r := range s.expectedEnds(h) {
		free = free.Add(r.size)
		if g.membersIn(free) >= most {
			return 1 + int((r.at-s.now)/roomTimeStep)
		}
	}
	return neverHasRoom
}

// approval returns the estimate of the share of hosts that is approved for a queue.
func (s *Scheduler) approval(g *group) *gangroom.Approval {
	name := g.job.queue.Name
	a := s.approvals[name]
	if a == nil {
		if s.approvals == nil || len(s.approvals) >= maxApprovals {
			s.approvals = make(map[string]*gangroom.Approval)
		}
		a = &gangroom.Approval{}
		s.approvals[name] = a
	}
	return a
}
