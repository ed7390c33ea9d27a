package schedule

import (
	"fmt"
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
	// maxGangHosts bounds the hosts that are considered for the calls for a gang.
	maxGangHosts = 2 * maxAdviceHosts
)

// requestGangAdvice plans the calls about some of the given hosts for a gang: those that hold
// most of its members soonest, as many as it needs and has time for.
func (s *Scheduler) requestGangAdvice(g *group, hosts []*host) {
	if len(hosts) == 0 || !s.mayRequestAdvice(g) {
		return
	}
	hosts = lowestHosts(hosts, maxGangHosts, func(h *host) int { return s.gangRoomRank(g, h) })
	p := g.policy()
	search := gangroom.Search{
		Members: g.waiting, Fits: make([]int, len(hosts)), ApprovalShare: s.approval(g).Share(), PerHost: p.PerHost, Slack: s.slack(g),
		Least: adviceHostLimit(p), Most: maxAdviceHosts, Nodes: s.adviceNodes(),
	}
	if s.underTrial(g.job) {
		search.Nodes.Free = 1 // the calls for trials are bounded elsewhere
	}
	for i, h := range hosts {
		search.Fits[i] = g.membersIn(h.free().Sub(h.reserved))
	}
	n, calls := search.Plan()
	s.gangRoom.Searches++
	s.gangRoom.ParallelCalls += int64(calls - 1)
	if n > search.Least {
		s.logMessage(g.id.Submission, "", fmt.Sprintf("Step %s asks about %d hosts in %d calls to find room for %d members.", g.id, n, calls, g.waiting))
	}
	for i := range calls {
		s.planCall(g, everyNth(hosts[:n], i, calls))
	}
}

// everyNth returns every n-th host from the one at an index on, so that each call names some of
// the best.
func everyNth(hosts []*host, from, n int) []*host {
	if n == 1 {
		return hosts
	}
	out := make([]*host, 0, len(hosts)/n+1)
	for i := from; i < len(hosts); i += n {
		out = append(out, hosts[i])
	}
	return out
}

// adviceNodes returns the nodes for long advice calls.
func (s *Scheduler) adviceNodes() gangroom.Nodes {
	if s.adviceRoom == nil {
		return gangroom.Nodes{Free: maxAdviceHosts}
	}
	return gangroom.Nodes{Free: s.adviceRoom.Long, All: s.adviceRoom.Nodes}
}

// asksFurther reports whether the advice service is asked about further hosts for a gang that
// waits for room. In a mostly idle cell it always is, since there may be room elsewhere.
func (s *Scheduler) asksFurther(g *group) bool {
	return !s.options.Features.GangCapacity || s.mostlyIdle || gangroom.Further(g.waiting, s.approvedCapacity(g), s.adviceNodes())
}

// slack returns how long a group can wait until it is expected to miss its objective or, if it
// is expected to miss it anyway, until its result is of no use.
func (s *Scheduler) slack(g *group) time.Duration {
	j := g.job
	left := j.due - s.now - j.criticalPath(g.id.Step)
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
